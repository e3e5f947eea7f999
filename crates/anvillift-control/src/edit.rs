//! Applies the edits of a change to a configuration.

use anvillift_schema::configuration::{Configuration, Edit};

/// Applies edits in order, without validation.
pub fn apply(configuration: &mut Configuration, edits: &[Edit]) {
    for edit in edits {
        apply_one(configuration, edit.clone());
    }
}

fn apply_one(configuration: &mut Configuration, edit: Edit) {
    match edit {
        Edit::PutProfile(profile) => {
            configuration.profiles.insert(profile.name.clone(), profile);
        }
        Edit::PutService(service) => {
            configuration.services.insert(service.name.clone(), service);
        }
        Edit::PutTeam(team) => {
            configuration.teams.insert(team.name.clone(), team);
        }
        Edit::RemoveProfile(name) => {
            configuration.profiles.remove(&name);
        }
        Edit::RemoveService(name) => {
            configuration.services.remove(&name);
        }
        Edit::RemoveTeam(name) => {
            configuration.teams.remove(&name);
        }
    }
}
