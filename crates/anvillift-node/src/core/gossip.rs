//! What a core host tells the others.

use anvillift_fleet::core_roster::{RosterChange, Sight};
use anvillift_fleet::{core_roster, directory};
use anvillift_schema::consensus::Voter;
use anvillift_schema::event::Event;
use anvillift_schema::fleet::{
    FleetControl, FleetControlNews, FleetFrame, FleetHeard, FleetHost, FleetHostRole, FleetHosts,
};
use anvillift_schema::name::Name;

use crate::clock;
use crate::core::Core;

/// Turns of housekeeping between two lists of hosts to the other cores.
const TELL_CORES_TURNS: u64 = 8;
/// Turns of housekeeping between two short lists to the entry hosts: who of
/// their region is there.
const TELL_REGION_TURNS: u64 = 3;
/// Turns of housekeeping between two long lists to the entry hosts: who of all
/// regions is there.
const TELL_ALL_TURNS: u64 = 20;
/// Time after its start from which a core without a leader shows what it
/// holds, in milliseconds.
const SHOW_ALONE_AFTER_MS: u64 = 3_000;

/// Tells of a state of control without its document.
fn news(control: &FleetControl) -> FleetFrame {
    FleetFrame::ControlNews(FleetControlNews { index: control.index, version: control.version })
}

impl Core {
    /// Frames for a host whose link has come up.
    pub(super) fn on_link_up(&self, _name: &Name) -> Vec<FleetFrame> {
        let known = self.node.known.borrow();
        let mut frames = vec![self.hosts_frame()];
        if known.control.index > 0 {
            frames.push(news(&known.control));
        }
        let (now_ms, interval_ms) = (clock::now_ms(), self.node.settings.report_interval_ms);
        let told = known.workers.iter().map(|entry| entry.as_told(now_ms, interval_ms));
        frames.extend(told.map(FleetFrame::Worker));
        frames
    }

    fn hosts_frame(&self) -> FleetFrame {
        let known = self.node.known.borrow();
        let mut hosts = known.hosts.heard_directly(clock::now_ms());
        hosts.push(self.node.me());
        FleetFrame::Hosts(FleetHosts { hosts })
    }

    /// Tells every link of a host that is new or has changed.
    pub(super) fn tell_host(&self, host: FleetHost) {
        if let Some(hub) = self.node.hub() {
            hub.send_all(&FleetFrame::Hosts(FleetHosts { hosts: vec![host] }));
        }
    }

    /// Tells the other cores from time to time.
    pub(super) fn gossip(&self, turns: u64) {
        if !turns.is_multiple_of(TELL_CORES_TURNS) {
            return;
        }
        let frame = self.hosts_frame();
        for name in self.linked(FleetHostRole::Core) {
            if let Some(hub) = self.node.hub() {
                hub.send(&name, frame.clone());
            }
        }
        self.node.known.borrow_mut().hosts.forget(clock::now_ms());
    }

    /// Tells entry hosts which others are there: callers ask them for those of
    /// the region, and all share limits.
    pub(super) fn tell_heard(&self, turns: u64) {
        let tells_all = turns.is_multiple_of(TELL_ALL_TURNS);
        if !tells_all && !turns.is_multiple_of(TELL_REGION_TURNS) {
            return;
        }
        let Some(hub) = self.node.hub() else { return };
        let now_ms = clock::now_ms();
        let known = self.node.known.borrow();
        let mut heard = known.hosts.heard_directly(now_ms);
        heard.retain(|host| host.role == FleetHostRole::Entry);
        for entry in directory::told_by(&known.hosts, now_ms, &self.node.me()) {
            let told = heard.iter().filter(|host| tells_all || host.region == entry.region);
            let hosts: Vec<Name> = told.map(|host| host.name.clone()).collect();
            hub.send(&entry.name, FleetFrame::Heard(FleetHeard { hosts }));
        }
    }

    /// Tells the entry hosts of the own region what is under way in each region.
    pub(super) fn tell_loads(&self) {
        let Some(hub) = self.node.hub() else { return };
        let entries = self.linked(FleetHostRole::Entry);
        let known = self.node.known.borrow();
        let frame = FleetFrame::Loads(known.loads.by_region(clock::now_ms()));
        let own = &self.node.settings.region;
        let near = entries
            .iter()
            .filter(|name| known.hosts.get(name).is_some_and(|host| host.region == *own));
        for name in near {
            hub.send(name, frame.clone());
        }
    }

    /// Hosts of a role that have a link.
    pub(super) fn linked(&self, role: FleetHostRole) -> Vec<Name> {
        let Some(hub) = self.node.hub() else { return Vec::new() };
        let known = self.node.known.borrow();
        let mut names = hub.connected();
        names.retain(|name| known.hosts.get(name).is_some_and(|host| host.role == role));
        names
    }

    /// Puts each committed state in force here and tells the entry hosts. A
    /// host that has just started shows nothing before it has caught up with
    /// the leader, unless it has been without one for a while.
    pub(super) async fn publish_control(&self) {
        let started_ms = clock::now_ms();
        let mut changes = self.log.changes();
        let mut turn = tokio::time::interval(super::HOUSEKEEPING);
        loop {
            tokio::select! {
                changed = changes.changed() => if changed.is_err() { return },
                _ = turn.tick() => (),
            }
            let alone = clock::now_ms() >= started_ms + SHOW_ALONE_AFTER_MS;
            if self.log.status().leader.is_none() && !self.log.leads() && !alone {
                continue;
            }
            let state = self.log.state();
            if self.node.adopt_control(state.clone()) {
                for name in self.linked(FleetHostRole::Entry) {
                    if let Some(hub) = self.node.hub() {
                        hub.send(&name, news(&state));
                    }
                }
            }
        }
    }

    /// Makes the next change of the voters, if this host leads.
    pub(super) async fn change_voters(&self) {
        if !self.log.leads() || self.node.is_leaving() {
            return;
        }
        let me = self.node.me().name;
        let status = self.log.status();
        let (voters, led) = (&status.voters, status.led_for().unwrap_or_default());
        let change = {
            let known = self.node.known.borrow();
            let sight = Sight {
                me: &me,
                hosts: &known.hosts,
                now_ms: clock::now_ms(),
                led_ms: led.as_millis() as u64,
            };
            core_roster::next_change(&sight, voters)
        };
        let (replica, changed) = match &change {
            None => return,
            Some(RosterChange::Add(replica)) => (replica, self.log.add(replica.clone()).await),
            Some(RosterChange::Remove(replica)) => (replica, self.log.remove(replica).await),
        };
        let outcome = changed.map_or_else(|error| error.to_string(), |()| "begun".to_owned());
        log::info!(
            event = Event::VotersChanged.number(), replica = replica.host.as_str(),
            storage = replica.storage_id.as_str(), voters = voters.voters.len(), outcome = outcome;
            "change of the voters: {change:?}"
        );
    }

    /// Shows on the metrics address who votes, as far as this host knows.
    pub(super) fn show_voters(&self) {
        let voters = self.log.status().voters;
        let me = self.node.me();
        let own = Voter { host: me.name, storage_id: me.storage_id };
        let votes = voters.voters.contains(&own);
        metrics::gauge!("anvillift_control_voters").set(voters.voters.len() as f64);
        metrics::gauge!("anvillift_control_learners").set(voters.learners.len() as f64);
        metrics::gauge!("anvillift_control_votes").set(f64::from(u8::from(votes)));
    }
}
