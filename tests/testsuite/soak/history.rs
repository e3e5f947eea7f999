//! Linearizability checks of histories of changes and commands.
//!
//! An operation with an unknown outcome may take effect at any time after its
//! call, or never. The history therefore places its response after all others, and
//! the state of each specification is the set of all states that are possible.

use std::collections::BTreeSet;
use std::time::Duration;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use super::commands::AttemptOutcome;

/// Call time, answer time and outcome of an attempt to run a command.
pub(super) type CommandStep = (Duration, Duration, AttemptOutcome);

/// Configuration revision with which the control group starts.
pub(super) const FIRST_REVISION: u64 = 1;

/// Result of a submitted change, or of reading the revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ChangeOutcome {
    /// The change was accepted on top of the expected revision.
    Accepted {
        /// Revision that the change expected.
        expected: u64,
    },
    /// The change was refused, since another revision is current.
    Conflict {
        /// Revision that the change expected.
        expected: u64,
        /// Revision that was current instead.
        current: u64,
    },
    /// The change may have been accepted.
    Unknown {
        /// Revision that the change expected.
        expected: u64,
    },
    /// The revision was read after all changes.
    Read {
        /// Revision that was read.
        revision: u64,
    },
}

/// Specification of the configuration as a register with compare-and-set on its revision.
struct ConfigurationSpecification;

impl Specification for ConfigurationSpecification {
    type State = BTreeSet<u64>;
    type Operation = ChangeOutcome;

    fn init() -> Self::State {
        BTreeSet::from([FIRST_REVISION])
    }

    fn apply(operation: &ChangeOutcome, state: &Self::State) -> (bool, Self::State) {
        let next: Self::State = match operation {
            ChangeOutcome::Accepted { expected } => state
                .iter()
                .filter(|candidate| *candidate == expected)
                .map(|candidate| candidate + 1)
                .collect(),
            ChangeOutcome::Conflict { expected, current } => {
                let possible = |candidate: &&u64| *candidate == current && current != expected;
                state.iter().filter(possible).copied().collect()
            }
            ChangeOutcome::Unknown { expected } => {
                let applied = state
                    .iter()
                    .filter(|candidate| *candidate == expected)
                    .map(|candidate| candidate + 1);
                state.iter().copied().chain(applied).collect()
            }
            ChangeOutcome::Read { revision } => {
                state.iter().filter(|candidate| *candidate == revision).copied().collect()
            }
        };
        (!next.is_empty(), next)
    }
}

/// Specification of a command that runs at most once and always returns the same answer.
struct CommandSpecification;

/// A possible state of a command: `None` if it has not run, `Some(None)` if it ran with an unknown
/// answer, or `Some` of its answer.
type RunState = Option<Option<String>>;

impl Specification for CommandSpecification {
    type State = BTreeSet<RunState>;
    type Operation = CommandObservation;

    fn init() -> Self::State {
        BTreeSet::from([None])
    }

    fn apply(operation: &CommandObservation, state: &Self::State) -> (bool, Self::State) {
        let next: Self::State = match operation {
            CommandObservation::Attempt(AttemptOutcome::Ran(answer)) => {
                let ran = Some(Some(answer.clone()));
                let possible = |candidate: &RunState| {
                    candidate.is_none() || *candidate == Some(None) || *candidate == ran
                };
                state.iter().filter(|candidate| possible(candidate)).map(|_| ran.clone()).collect()
            }
            CommandObservation::Attempt(AttemptOutcome::NotSent) => state.clone(),
            // The answer speaks of every attempt under the key, not only of its own.
            CommandObservation::Attempt(AttemptOutcome::NotRun) => {
                state.iter().filter(|candidate| candidate.is_none()).cloned().collect()
            }
            CommandObservation::Attempt(AttemptOutcome::Unknown) => {
                let ran = state.iter().filter(|candidate| candidate.is_none()).map(|_| Some(None));
                state.iter().cloned().chain(ran).collect()
            }
            CommandObservation::Counted(ran) => {
                state.iter().filter(|candidate| candidate.is_some() == *ran).cloned().collect()
            }
        };
        (!next.is_empty(), next)
    }
}

/// The outcome of an attempt, or whether the service counted a run of the command in the end.
#[derive(Clone, Debug)]
enum CommandObservation {
    Attempt(AttemptOutcome),
    Counted(bool),
}

/// Returns whether the attempts of one command are linearizable, given whether the command ran.
pub(super) fn command_is_linearizable(steps: &[CommandStep], ran: bool) -> bool {
    let mut operations: Vec<Operation<CommandObservation>> = steps
        .iter()
        .map(|(called, answered, outcome)| {
            let is_unknown = *outcome == AttemptOutcome::Unknown;
            let answered = if is_unknown { Duration::MAX } else { *answered };
            Operation {
                called: *called,
                answered,
                operation: CommandObservation::Attempt(outcome.clone()),
            }
        })
        .collect();
    operations.push(Operation::last(CommandObservation::Counted(ran)));
    WGLChecker::<CommandSpecification>::is_linearizable(history(operations))
}

/// Returns whether the changes are linearizable as operations on one configuration register.
pub(super) fn changes_are_linearizable(operations: Vec<Operation<ChangeOutcome>>) -> bool {
    WGLChecker::<ConfigurationSpecification>::is_linearizable(history(operations))
}

/// An operation with its times since the start of the soak test.
#[derive(Clone, Debug)]
pub(super) struct Operation<T> {
    /// Time of the call.
    pub(super) called: Duration,
    /// Time of the answer; `Duration::MAX` if the outcome is unknown.
    pub(super) answered: Duration,
    /// Kind and result of the operation.
    pub(super) operation: T,
}

impl<T> Operation<T> {
    /// Creates an operation that starts after all operations with a known outcome have ended.
    pub(super) fn last(operation: T) -> Self {
        let called = Duration::MAX - Duration::from_secs(2);
        Self { called, answered: Duration::MAX - Duration::from_secs(1), operation }
    }
}

fn history<T: Clone>(operations: Vec<Operation<T>>) -> History<T> {
    let mut actions = Vec::new();
    for (process, operation) in operations.into_iter().enumerate() {
        let call = Action::Call(operation.operation.clone());
        actions.push((operation.called, process, call));
        actions.push((operation.answered, process, Action::Response(operation.operation)));
    }
    actions.sort_by_key(|(at, _, action)| (*at, matches!(action, Action::Response(_))));
    History::from_actions(
        actions.into_iter().map(|(_, process, action)| (process, action)).collect(),
    )
}

mod checker_tests {
    use super::*;

    fn operation<T>(called: u64, answered: u64, operation: T) -> Operation<T> {
        let (called, answered) = (Duration::from_secs(called), Duration::from_secs(answered));
        Operation { called, answered, operation }
    }

    #[test]
    fn two_changes_accepted_on_the_same_revision_are_rejected() {
        let twice = (0..2).map(|at| operation(at, at + 2, ChangeOutcome::Accepted { expected: 1 }));
        assert!(!changes_are_linearizable(twice.collect()));
    }

    #[test]
    fn lost_accepted_change_is_rejected() {
        let accepted = operation(0, 1, ChangeOutcome::Accepted { expected: 1 });
        let read = Operation::last(ChangeOutcome::Read { revision: 1 });
        assert!(!changes_are_linearizable(vec![accepted, read]));
    }

    #[test]
    fn unknown_change_may_be_applied_late_or_never() {
        let is_possible = |revision| {
            let unknown = Operation {
                called: Duration::ZERO,
                answered: Duration::MAX,
                operation: ChangeOutcome::Unknown { expected: 1 },
            };
            let read = Operation::last(ChangeOutcome::Read { revision });
            changes_are_linearizable(vec![unknown, read])
        };
        assert!(is_possible(1) && is_possible(2) && !is_possible(3));
    }

    #[test]
    fn different_answers_of_one_command_are_rejected() {
        let step = |at: u64, answer: &str| {
            let outcome = AttemptOutcome::Ran(answer.to_owned());
            (Duration::from_secs(at), Duration::from_secs(at + 1), outcome)
        };
        assert!(command_is_linearizable(&[step(0, "1"), step(2, "1")], true));
        assert!(!command_is_linearizable(&[step(0, "1"), step(2, "2")], true));
        assert!(!command_is_linearizable(&[step(0, "1")], false));
    }

    #[test]
    fn counted_run_is_rejected_if_every_attempt_reported_not_run() {
        let steps = [(Duration::ZERO, Duration::from_secs(1), AttemptOutcome::NotRun)];
        assert!(command_is_linearizable(&steps, false));
        assert!(!command_is_linearizable(&steps, true));
    }

    /// Guards against a refusal that says "not run" of a command that an earlier attempt
    /// under its key has run.
    #[test]
    fn not_run_after_a_run_is_rejected() {
        let ran = AttemptOutcome::Ran("1".to_owned());
        let after = |outcome| {
            let steps = [
                (Duration::ZERO, Duration::from_secs(1), ran.clone()),
                (Duration::from_secs(2), Duration::from_secs(3), outcome),
            ];
            command_is_linearizable(&steps, true)
        };
        assert!(!after(AttemptOutcome::NotRun));
        assert!(after(AttemptOutcome::NotSent) && after(AttemptOutcome::Unknown));
    }
}
