//! Seeded schedules of attempts with crashes, suspended hosts, and lost, delayed
//! and duplicated proposals. The history of each key is checked for
//! linearizability.

use std::collections::BTreeMap;

use anvillift_ledger::attempt::{
    Answer, Attempt, AttemptSettings, ProposalError, SendResult, Step,
};
use anvillift_ledger::machine::{Machine, MachineSettings};
use anvillift_schema::ledger::{LedgerOperation, LedgerVerdict};
use anvillift_schema::name::Name;
use anvillift_schema::public::Outcome;
use proptest::prelude::*;
use rand::rngs::SmallRng;
use rand::{Rng, SeedableRng};
use todc_utils::linearizability::WGLChecker;
use todc_utils::linearizability::history::{Action, History};
use todc_utils::specifications::Specification;

const KEYS: usize = 2;
const STEPS: usize = 400;
const DISPATCH_WITHIN_MS: u64 = 2_000;
const ISSUED_UNIX_MS: u64 = 1_790_000_000_000;
const RETENTION_MS: u64 = 600_000;

#[derive(Debug)]
enum State {
    /// Waits for the verdict on its reservation.
    Reserving(Attempt),
    /// Holds the reservation and has not sent the command yet.
    Ready(Attempt),
    /// Has sent the command, which may have run, may still run, or may be lost.
    Sent(Attempt),
    /// The attempt was answered, or its host crashed.
    Finished,
}

#[derive(Clone, Debug)]
struct Proposal {
    attempt: usize,
    operation: LedgerOperation,
}

struct Simulation {
    rng: SmallRng,
    now_ms: u64,
    machine: Machine,
    attempts: Vec<(usize, State)>,
    proposals: Vec<Proposal>,
    verdicts: Vec<(usize, LedgerVerdict)>,
    runs: BTreeMap<usize, Vec<usize>>,
    /// Attempts whose command is in flight to the upstream.
    in_flight: Vec<usize>,
    answers: BTreeMap<usize, Answer>,
    /// Attempts that were answered "not run" though their command ran, or was under way,
    /// in another attempt under the same key.
    false_answers: Vec<usize>,
    /// Starts and ends of attempts, in order.
    events: Vec<(usize, Event)>,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Event {
    Start,
    End,
}

/// Effect of an attempt on its key, as an operation in the history of the key.
#[derive(Clone, Debug)]
enum Effect {
    Ran(usize),
    Replayed(usize),
}

/// Sequential specification of a key: at most one attempt runs the command, and
/// later attempts replay its answer.
struct KeySpec;

impl Specification for KeySpec {
    type State = Option<usize>;
    type Operation = Effect;

    fn init() -> Self::State {
        None
    }

    fn apply(effect: &Self::Operation, ran_by: &Self::State) -> (bool, Self::State) {
        match effect {
            Effect::Ran(attempt) => (ran_by.is_none(), Some(*attempt)),
            Effect::Replayed(attempt) => (*ran_by == Some(*attempt), *ran_by),
        }
    }
}

impl Simulation {
    fn new(seed: u64) -> Self {
        let mut machine = Machine::new(MachineSettings::default());
        machine.apply(LedgerOperation::Expire { now_unix_ms: ISSUED_UNIX_MS - 1 });
        Self {
            rng: SmallRng::seed_from_u64(seed),
            now_ms: 0,
            machine,
            attempts: Vec::new(),
            proposals: Vec::new(),
            verdicts: Vec::new(),
            runs: BTreeMap::new(),
            in_flight: Vec::new(),
            answers: BTreeMap::new(),
            false_answers: Vec::new(),
            events: Vec::new(),
        }
    }

    fn step(&mut self) {
        self.now_ms += self.rng.random_range(0..100);
        match self.rng.random_range(0..100) {
            0..12 => self.start(),
            12..35 => self.apply_proposal(),
            35..38 => drop(self.take_proposal()),
            38..58 => self.receive_verdict(),
            58..61 => self.time_out(),
            61..76 => self.send(),
            76..86 => self.deliver_command(),
            86..92 => self.receive_answer(),
            92..94 => self.crash(),
            94..97 => self.now_ms += self.rng.random_range(0..2 * DISPATCH_WITHIN_MS),
            97..99 => self.restore(),
            _ => self.expire(),
        }
    }

    fn start(&mut self) {
        let number = self.attempts.len();
        let key = self.rng.random_range(0..KEYS);
        let settings = AttemptSettings {
            key_hash: format!("key-{key}"),
            body_hash: "body".to_owned(),
            attempt: Name::from(format!("attempt-{number}")),
            holder: Name::from(format!("host#{number}")),
            issued_unix_ms: ISSUED_UNIX_MS,
            retention_ms: RETENTION_MS,
            dispatch_within_ms: DISPATCH_WITHIN_MS,
        };
        let attempt = Attempt::new(settings, self.now_ms);
        self.proposals.push(Proposal { attempt: number, operation: attempt.reservation() });
        self.attempts.push((key, State::Reserving(attempt)));
        self.events.push((number, Event::Start));
    }

    fn take_proposal(&mut self) -> Option<Proposal> {
        if self.proposals.is_empty() {
            return None;
        }
        let position = self.rng.random_range(0..self.proposals.len());
        Some(self.proposals.swap_remove(position))
    }

    /// Applies a random proposal, sometimes twice, and loses some verdicts.
    fn apply_proposal(&mut self) {
        let Some(proposal) = self.take_proposal() else { return };
        if self.rng.random_range(0..5) == 0 {
            self.proposals.push(proposal.clone());
        }
        let is_reservation = matches!(proposal.operation, LedgerOperation::Reserve { .. });
        let verdict = self.machine.apply(proposal.operation);
        if is_reservation && self.rng.random_range(0..10) > 0 {
            self.verdicts.push((proposal.attempt, verdict));
        }
    }

    fn receive_verdict(&mut self) {
        if self.verdicts.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.verdicts.len());
        let (number, verdict) = self.verdicts.swap_remove(position);
        // The detection of silent holders may be wrong, so it is drawn at random.
        let silent = self.rng.random_range(0..2) == 0;
        self.handle_verdict(number, Ok(verdict), silent);
    }

    fn time_out(&mut self) {
        let waiting =
            |(_, (_, state)): &(usize, &(usize, State))| matches!(state, State::Reserving(_));
        let number = self.attempts.iter().enumerate().find(waiting).map(|(number, _)| number);
        if let Some(number) = number {
            self.handle_verdict(number, Err(ProposalError::Unknown), false);
        }
    }

    fn handle_verdict(
        &mut self,
        number: usize,
        verdict: Result<LedgerVerdict, ProposalError>,
        silent: bool,
    ) {
        let (_, state) = &mut self.attempts[number];
        match std::mem::replace(state, State::Finished) {
            State::Reserving(mut attempt) => {
                match attempt.on_verdict(self.now_ms, verdict, |_| silent) {
                    Step::Send => self.attempts[number].1 = State::Ready(attempt),
                    step => self.finish(number, step),
                }
            }
            other => *state = other,
        }
    }

    fn send(&mut self) {
        let ready = |(_, (_, state)): &(usize, &(usize, State))| matches!(state, State::Ready(_));
        let number = self.attempts.iter().enumerate().find(ready).map(|(number, _)| number);
        let Some(number) = number else { return };
        let (_, state) = &mut self.attempts[number];
        let State::Ready(mut attempt) = std::mem::replace(state, State::Finished) else { return };
        match attempt.check_deadline(self.now_ms) {
            Step::Send if self.rng.random_range(0..6) == 0 => {
                let step = attempt.on_send_result(SendResult::NotSent);
                self.finish(number, step);
            }
            Step::Send => {
                self.in_flight.push(number);
                self.attempts[number].1 = State::Sent(attempt);
            }
            step => self.finish(number, step),
        }
    }

    /// Delivers a command to the upstream, which runs it, or drops the command.
    fn deliver_command(&mut self) {
        if self.in_flight.is_empty() {
            return;
        }
        let position = self.rng.random_range(0..self.in_flight.len());
        let number = self.in_flight.swap_remove(position);
        if self.rng.random_range(0..8) > 0 {
            let key = self.attempts[number].0;
            self.runs.entry(key).or_default().push(number);
        }
    }

    fn receive_answer(&mut self) {
        let sent = |(_, (_, state)): &(usize, &(usize, State))| matches!(state, State::Sent(_));
        let number = self.attempts.iter().enumerate().find(sent).map(|(number, _)| number);
        let Some(number) = number else { return };
        let key = self.attempts[number].0;
        let ran = self.runs.get(&key).is_some_and(|runs| runs.contains(&number));
        let result = match self.rng.random_range(0..4) {
            0 => SendResult::ConnectionLost,
            1 => SendResult::TimedOut,
            _ if ran => SendResult::Answered { status: 200, answer_hash: format!("by-{number}") },
            _ => return,
        };
        let (_, state) = &mut self.attempts[number];
        let State::Sent(mut attempt) = std::mem::replace(state, State::Finished) else { return };
        let step = attempt.on_send_result(result);
        self.finish(number, step);
    }

    /// Crashes the host of an attempt, which loses the state of the attempt.
    fn crash(&mut self) {
        if !self.attempts.is_empty() {
            let number = self.rng.random_range(0..self.attempts.len());
            self.attempts[number].1 = State::Finished;
        }
    }

    fn restore(&mut self) {
        let snapshot = self.machine.snapshot();
        let mut restored = Machine::new(MachineSettings::default());
        restored.restore(&snapshot).expect("snapshot decodes");
        self.machine = restored;
    }

    fn expire(&mut self) {
        if self.rng.random_range(0..3) == 0 {
            let now_unix_ms = ISSUED_UNIX_MS + RETENTION_MS;
            self.machine.apply(LedgerOperation::Expire { now_unix_ms });
        }
    }

    fn finish(&mut self, number: usize, step: Step) {
        let Step::Finish { answer, ledger_update } = step else {
            panic!("attempt {number} sends its command after its end")
        };
        if matches!(answer, Answer::Refused { outcome: Outcome::NotRun, .. })
            && self.may_have_run(self.attempts[number].0)
        {
            self.false_answers.push(number);
        }
        self.answers.insert(number, answer);
        self.events.push((number, Event::End));
        if let Some(operation) = ledger_update {
            self.proposals.push(Proposal { attempt: number, operation });
        }
    }

    /// Whether the command of a key has run or is on its way to the upstream.
    fn may_have_run(&self, key: usize) -> bool {
        let is_in_flight = |number: &usize| self.attempts[*number].0 == key;
        self.runs.contains_key(&key) || self.in_flight.iter().any(is_in_flight)
    }

    /// Effect of an attempt on its key, or `None` if it had none.
    fn effect(&self, number: usize) -> Option<Effect> {
        let key = self.attempts[number].0;
        let runs = self.runs.get(&key).map(Vec::as_slice).unwrap_or_default();
        if let Some(Answer::Replay { answer_hash, .. }) = self.answers.get(&number) {
            let runner = answer_hash.strip_prefix("by-")?.parse().ok()?;
            return Some(Effect::Replayed(runner));
        }
        runs.contains(&number).then_some(Effect::Ran(number))
    }

    /// History of a key. An attempt that was answered `unknown`, or never
    /// answered, may take effect until the end of the history.
    fn history(&self, key: usize) -> Vec<(usize, Action<Effect>)> {
        let mut open = BTreeMap::new();
        let mut actions = Vec::new();
        for (number, event) in &self.events {
            let Some(effect) = self.effect(*number) else { continue };
            if self.attempts[*number].0 != key {
                continue;
            }
            let is_unknown = matches!(
                self.answers.get(number),
                Some(Answer::Refused { outcome: Outcome::Unknown, .. })
            );
            match event {
                Event::Start => {
                    open.insert(*number, effect.clone());
                    actions.push((*number, Action::Call(effect)));
                }
                Event::End if is_unknown => {}
                Event::End => {
                    open.remove(number);
                    actions.push((*number, Action::Response(effect)));
                }
            }
        }
        actions.extend(open.into_iter().map(|(number, effect)| (number, Action::Response(effect))));
        actions
    }

    fn check(&self) -> Result<(), TestCaseError> {
        for (key, runs) in &self.runs {
            prop_assert!(
                runs.len() <= 1,
                "the command of key {key} was run by the attempts {runs:?}"
            );
        }
        prop_assert!(
            self.false_answers.is_empty(),
            "the attempts {:?} were answered \"not run\", but the command of their key ran",
            self.false_answers
        );
        for (number, answer) in &self.answers {
            let key = self.attempts[*number].0;
            let runs = self.runs.get(&key).map(Vec::as_slice).unwrap_or_default();
            let ran = runs.contains(number);
            match answer {
                Answer::Refused { outcome: Outcome::NotRun, code } => {
                    prop_assert!(
                        !ran,
                        "attempt {number} was answered {code:?} (not run), but it ran"
                    );
                    prop_assert!(
                        !self.in_flight.contains(number),
                        "attempt {number} was answered {code:?}, but its command is in flight"
                    );
                }
                Answer::Refused { .. } => {}
                Answer::Complete => prop_assert!(ran),
                Answer::Replay { answer_hash, .. } => {
                    prop_assert_eq!(answer_hash, &format!("by-{}", runs[0]));
                }
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 2_000, failure_persistence: None, ..ProptestConfig::default() })]

    /// The command of a key runs at most once, and an attempt that was answered
    /// `not_run` did not run it.
    #[test]
    fn a_command_runs_at_most_once_per_key(seed in any::<u64>()) {
        let mut simulation = Simulation::new(seed);
        for _ in 0..STEPS {
            simulation.step();
            simulation.check()?;
        }
        for key in 0..KEYS {
            let actions = simulation.history(key);
            if !actions.is_empty() {
                let history = History::from_actions(actions);
                prop_assert!(
                    WGLChecker::<KeySpec>::is_linearizable(history),
                    "the history of key {key} is not linearizable"
                );
            }
        }
    }
}

/// Checks that the schedules reach every kind of answer, so that the property
/// above is tested on all of them.
#[test]
fn schedules_reach_every_kind_of_answer() {
    let mut reached = BTreeMap::<String, usize>::new();
    for seed in 0..300 {
        let mut simulation = Simulation::new(seed);
        (0..STEPS).for_each(|_| simulation.step());
        for answer in simulation.answers.values() {
            let kind = match answer {
                Answer::Refused { code, .. } => format!("{code:?}"),
                Answer::Complete => "Complete".to_owned(),
                Answer::Replay { .. } => "Replay".to_owned(),
            };
            *reached.entry(kind).or_default() += 1;
        }
    }
    let expected_kinds = [
        "Complete",
        "Replay",
        "CommandInProgress",
        "CommandUnknown",
        "CommandExpired",
        "LedgerUnavailable",
        "DispatchTooLate",
        "UpstreamUnreachable",
        "UpstreamFailed",
    ];
    for kind in expected_kinds {
        assert!(reached.contains_key(kind), "no schedule ended in {kind}: {reached:?}");
    }
}
