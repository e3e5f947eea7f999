//! From whom an entry host fetches a newer state of control.
//!
//! Every core tells that it has one; the state itself may be large, so it is
//! asked for once, and from another core only when the first doesn't answer.

use std::collections::BTreeMap;

use anvillift_schema::name::Name;

/// Time after which another core is asked, in milliseconds.
const ASK_AGAIN_MS: u64 = 450;

#[derive(Clone, Debug)]
struct Asked {
    core: Name,
    index: u64,
    asked_ms: u64,
}

/// What cores have told, and what was asked for.
#[derive(Clone, Debug, Default)]
pub struct ControlPull {
    told: BTreeMap<Name, u64>,
    asked: Option<Asked>,
}

impl ControlPull {
    /// Takes the news of a core; whether it is to be asked now, where this host
    /// holds the state of `held_index`.
    pub fn on_news(&mut self, now_ms: u64, core: &Name, index: u64, held_index: u64) -> bool {
        self.told.insert(core.clone(), index);
        let waits = self.asked.as_ref().is_some_and(|asked| {
            asked.index >= index && asked.index > held_index && !asked.is_overdue(now_ms)
        });
        let asks = index > held_index && !waits;
        if asks {
            self.asked = Some(Asked { core: core.clone(), index, asked_ms: now_ms });
        }
        asks
    }

    /// The core to be asked now, since the one that was asked didn't answer.
    pub fn ask_again(&mut self, now_ms: u64, held_index: u64) -> Option<Name> {
        let asked = self.asked.as_ref().filter(|asked| asked.index > held_index)?;
        if !asked.is_overdue(now_ms) {
            return None;
        }
        let newer = self.told.iter().filter(|(_, index)| **index > held_index);
        let mut cores: Vec<(&Name, u64)> = newer.map(|(core, index)| (core, *index)).collect();
        cores.sort_by_key(|(core, index)| (**core == asked.core, u64::MAX - index));
        let (core, index) = cores.first().map(|(core, index)| ((*core).clone(), *index))?;
        self.asked = Some(Asked { core: core.clone(), index, asked_ms: now_ms });
        Some(core)
    }
}

impl Asked {
    fn is_overdue(&self, now_ms: u64) -> bool {
        self.asked_ms + ASK_AGAIN_MS <= now_ms
    }
}
