//! Histories and the specifications that they are checked against.
//!
//! An operation whose outcome is not known may take effect at any time after
//! its call, or never: its response stands at the end of the history, and the
//! state is the set of states that are possible.

use std::collections::BTreeSet;
use std::time::Duration;

use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

use super::commands::Told;

/// An attempt of a command: call, answer, what was told.
pub(super) type CommandStep = (Duration, Duration, Told);

/// Revision of the configuration that control begins with.
pub(super) const FOUNDING_REVISION: u64 = 1;

/// What became of a change.
#[derive(Clone, Debug, Eq, PartialEq)]
pub(super) enum ChangeOutcome {
    /// Accepted over the expected revision.
    Accepted {
        /// Revision expected.
        expected: u64,
    },
    /// Refused, since another revision is current.
    Conflict {
        /// Revision expected.
        expected: u64,
        /// Revision that is current.
        current: u64,
    },
    /// Not known.
    Unknown {
        /// Revision expected.
        expected: u64,
    },
    /// Seen at the end.
    Read {
        /// Revision read.
        revision: u64,
    },
}

/// A register that is changed by compare-and-set on its revision.
struct ConfigurationSpecification;

impl Specification for ConfigurationSpecification {
    type State = BTreeSet<u64>;
    type Operation = ChangeOutcome;

    fn init() -> Self::State {
        BTreeSet::from([FOUNDING_REVISION])
    }

    fn apply(operation: &ChangeOutcome, state: &Self::State) -> (bool, Self::State) {
        let next: Self::State = match operation {
            ChangeOutcome::Accepted { expected } => {
                state.iter().filter(|at| *at == expected).map(|at| at + 1).collect()
            }
            ChangeOutcome::Conflict { expected, current } => {
                let possible = |at: &&u64| *at == current && current != expected;
                state.iter().filter(possible).copied().collect()
            }
            ChangeOutcome::Unknown { expected } => {
                let applied = state.iter().filter(|at| *at == expected).map(|at| at + 1);
                state.iter().copied().chain(applied).collect()
            }
            ChangeOutcome::Read { revision } => {
                state.iter().filter(|at| *at == revision).copied().collect()
            }
        };
        (!next.is_empty(), next)
    }
}

/// A command that runs at most once and then always gives the same answer.
struct CommandSpecification;

/// What a command's state may be: not run, or run with an answer.
type RunState = Option<Option<String>>;

impl Specification for CommandSpecification {
    type State = BTreeSet<RunState>;
    type Operation = CommandAnswer;

    fn init() -> Self::State {
        BTreeSet::from([None])
    }

    fn apply(operation: &CommandAnswer, state: &Self::State) -> (bool, Self::State) {
        let next: Self::State = match operation {
            CommandAnswer::Told(Told::Ran(answer)) => {
                let ran = Some(Some(answer.clone()));
                let possible = |at: &RunState| at.is_none() || *at == Some(None) || *at == ran;
                state.iter().filter(|at| possible(at)).map(|_| ran.clone()).collect()
            }
            CommandAnswer::Told(Told::NotRun) => state.clone(),
            CommandAnswer::Told(Told::Unknown) => {
                let ran = state.iter().filter(|at| at.is_none()).map(|_| Some(None));
                state.iter().cloned().chain(ran).collect()
            }
            CommandAnswer::Counted(ran) => {
                state.iter().filter(|at| at.is_some() == *ran).cloned().collect()
            }
        };
        (!next.is_empty(), next)
    }
}

/// An answer to a command, or the count at the service in the end.
#[derive(Clone, Debug)]
enum CommandAnswer {
    Told(Told),
    Counted(bool),
}

/// Whether attempts of one command agree with its run.
pub(super) fn command_is_linearizable(steps: &[CommandStep], ran: bool) -> bool {
    let mut operations: Vec<Operation<CommandAnswer>> = steps
        .iter()
        .map(|(called, answered, told)| {
            let open = *told == Told::Unknown;
            let answered = if open { Duration::MAX } else { *answered };
            Operation { called: *called, answered, operation: CommandAnswer::Told(told.clone()) }
        })
        .collect();
    operations.push(Operation::last(CommandAnswer::Counted(ran)));
    WGLChecker::<CommandSpecification>::is_linearizable(history(operations))
}

/// Whether changes agree with one register of the configuration.
pub(super) fn changes_are_linearizable(operations: Vec<Operation<ChangeOutcome>>) -> bool {
    WGLChecker::<ConfigurationSpecification>::is_linearizable(history(operations))
}

/// An operation with its times.
#[derive(Clone, Debug)]
pub(super) struct Operation<T> {
    /// When it was called.
    pub(super) called: Duration,
    /// When it was answered; `MAX` if its outcome is not known.
    pub(super) answered: Duration,
    /// What it was.
    pub(super) operation: T,
}

impl<T> Operation<T> {
    /// A read after all else.
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

mod tests_of_the_checker {
    use super::*;

    fn operation<T>(called: u64, answered: u64, operation: T) -> Operation<T> {
        let (called, answered) = (Duration::from_secs(called), Duration::from_secs(answered));
        Operation { called, answered, operation }
    }

    #[test]
    fn two_changes_over_one_revision_are_found() {
        let twice = (0..2).map(|at| operation(at, at + 2, ChangeOutcome::Accepted { expected: 1 }));
        assert!(!changes_are_linearizable(twice.collect()));
    }

    #[test]
    fn lost_change_is_found() {
        let accepted = operation(0, 1, ChangeOutcome::Accepted { expected: 1 });
        let read = Operation::last(ChangeOutcome::Read { revision: 1 });
        assert!(!changes_are_linearizable(vec![accepted, read]));
    }

    #[test]
    fn undecided_change_may_come_late_or_never() {
        let open = |revision| {
            let undecided = Operation {
                called: Duration::ZERO,
                answered: Duration::MAX,
                operation: ChangeOutcome::Unknown { expected: 1 },
            };
            let read = Operation::last(ChangeOutcome::Read { revision });
            changes_are_linearizable(vec![undecided, read])
        };
        assert!(open(1) && open(2) && !open(3));
    }

    #[test]
    fn two_answers_of_one_command_are_found() {
        let step = |at: u64, answer: &str| {
            let told = Told::Ran(answer.to_owned());
            (Duration::from_secs(at), Duration::from_secs(at + 1), told)
        };
        assert!(command_is_linearizable(&[step(0, "1"), step(2, "1")], true));
        assert!(!command_is_linearizable(&[step(0, "1"), step(2, "2")], true));
        assert!(!command_is_linearizable(&[step(0, "1")], false));
    }

    #[test]
    fn run_after_not_run_alone_is_found() {
        let steps = [(Duration::ZERO, Duration::from_secs(1), Told::NotRun)];
        assert!(command_is_linearizable(&steps, false));
        assert!(!command_is_linearizable(&steps, true));
    }
}
