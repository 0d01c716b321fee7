//! Members: the processes of the fleet, and the status of their leases.

use super::change::ChangedItem;
use super::command::CommandResult;
use super::validation::{validate_text, InvalidInput};
use super::{Revision, State};
use crate::{Incarnation, LimitExceeded, Limits};
use serde::{Deserialize, Serialize};

/// The status of a member's lease, as the leader sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// Its lease has not expired on the leader's clock.
    Living,
    /// A newer process of its name waits for its lease to end. The lease is no longer renewed.
    Superseded,
    /// It left.
    Left,
    /// Its lease expired.
    Expired,
}

impl MemberStatus {
    /// Returns whether the member may still act on its lease.
    #[must_use]
    pub fn may_hold_lease(self) -> bool {
        matches!(self, MemberStatus::Living | MemberStatus::Superseded)
    }
}

/// A member.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its incarnation, which increases with each process of this name.
    pub incarnation: Incarnation,
    /// The random number that the process drew at its start, by which a repeated join is recognised.
    pub nonce: u64,
    /// The site it runs at.
    pub site: String,
    /// The version of its program.
    pub version: String,
    /// The address of its operators' interface.
    pub address: String,
    /// Whether it can serve, by its last report.
    pub ready: bool,
    /// The number of its last report.
    #[serde(rename = "report")]
    pub last_report: u64,
    /// The status of its lease.
    #[serde(rename = "standing")]
    pub status: MemberStatus,
    /// The revision of the last change of this member.
    pub revision: Revision,
}

/// Returns whether a member of this name is an agent. Other members, such as operators' tools, have a colon in their names.
#[must_use]
pub fn is_agent(name: &str) -> bool {
    !name.contains(':')
}

/// The fields of [`Command::Join`](super::Command::Join).
pub(super) struct JoinRequest<'a> {
    pub(super) name: &'a str,
    pub(super) nonce: u64,
    pub(super) previous_incarnation: Incarnation,
    pub(super) site: &'a str,
    pub(super) version: &'a str,
    pub(super) address: &'a str,
}

impl JoinRequest<'_> {
    fn validate(&self) -> Result<(), InvalidInput> {
        validate_text("name", self.name)?;
        validate_text("site", self.site)?;
        validate_text("version", self.version)?;
        validate_text("address", self.address)?;
        if self.name.is_empty() {
            return Err(InvalidInput::EmptyName);
        }
        Ok(())
    }
}

impl State {
    pub(super) fn join(&mut self, request: &JoinRequest<'_>, limits: &Limits) -> CommandResult {
        if let Err(invalid) = request.validate() {
            return CommandResult::Refused(invalid.to_string());
        }
        if let Some(result) = self.join_without_new_member(request, limits) {
            return result;
        }
        self.revision += 1;
        let incarnation = self.open_session(limits);
        let member = Member {
            incarnation,
            nonce: request.nonce,
            site: request.site.into(),
            version: request.version.into(),
            address: request.address.into(),
            ready: false,
            last_report: 0,
            status: MemberStatus::Living,
            revision: self.revision,
        };
        self.members.insert(request.name.into(), member.clone());
        self.record_change(ChangedItem::Member(request.name.into(), Some(member)), limits);
        CommandResult::Joined { incarnation }
    }

    /// Returns the result of a join that creates no member; none if the member can be created. An older process that is still
    /// living is marked as superseded.
    fn join_without_new_member(
        &mut self,
        request: &JoinRequest<'_>,
        limits: &Limits,
    ) -> Option<CommandResult> {
        let Some(member) = self.members.get(request.name) else {
            if request.previous_incarnation != 0 {
                return Some(CommandResult::IncarnationMismatch { incarnation: 0 });
            }
            let is_full = self.members.len() >= limits.members;
            return is_full
                .then(|| CommandResult::LimitExceeded(LimitExceeded::new("members", limits.members)));
        };
        let incarnation = member.incarnation;
        if member.nonce == request.nonce {
            // The join is repeated, because its result was lost.
            return Some(match member.status {
                MemberStatus::Living => CommandResult::Joined { incarnation },
                _ => CommandResult::NotLiving,
            });
        }
        if incarnation != request.previous_incarnation {
            return Some(CommandResult::IncarnationMismatch { incarnation });
        }
        match member.status {
            MemberStatus::Living => {
                self.update_member(request.name, limits, |member| member.status = MemberStatus::Superseded);
                Some(CommandResult::Wait { incarnation })
            }
            MemberStatus::Superseded => Some(CommandResult::Wait { incarnation }),
            MemberStatus::Left | MemberStatus::Expired => None,
        }
    }

    /// Returns the member of this name, if it has this incarnation and its lease is held.
    pub fn living_member(&self, name: &str, incarnation: Incarnation) -> Option<&Member> {
        let member = self.members.get(name)?;
        (member.incarnation == incarnation && member.status == MemberStatus::Living).then_some(member)
    }

    /// Returns whether this incarnation of the name may still act on its lease.
    pub(super) fn may_hold_lease(&self, name: &str, incarnation: Incarnation) -> bool {
        let member = self.members.get(name);
        member.is_some_and(|member| member.incarnation == incarnation && member.status.may_hold_lease())
    }

    pub(super) fn report(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        number: u64,
        ready: bool,
        limits: &Limits,
    ) -> CommandResult {
        let Some(member) = self.living_member(name, incarnation) else { return CommandResult::NotLiving };
        if member.last_report >= number {
            return CommandResult::Outdated;
        }
        let (was_ready, revision) = (member.ready, member.revision);
        if let Some(member) = self.members.get_mut(name) {
            member.last_report = number;
        }
        if was_ready == ready {
            return CommandResult::Done(revision);
        }
        self.update_member(name, limits, |member| member.ready = ready)
    }

    /// Ends a membership with this status.
    pub(super) fn end_member(
        &mut self,
        name: &str,
        incarnation: Incarnation,
        status: MemberStatus,
        limits: &Limits,
    ) -> CommandResult {
        if !self.may_hold_lease(name, incarnation) {
            return CommandResult::NotLiving;
        }
        self.sessions.remove(&incarnation);
        self.update_member(name, limits, |member| {
            member.status = status;
            member.ready = false;
        })
    }

    pub(super) fn forget_member(&mut self, name: &str, limits: &Limits) -> CommandResult {
        let Some(member) = self.members.get(name) else { return CommandResult::NotLiving };
        if member.status.may_hold_lease() {
            return CommandResult::Refused(format!("{name} has not ended"));
        }
        self.members.remove(name);
        self.revision += 1;
        self.record_change(ChangedItem::Member(name.into(), None), limits);
        CommandResult::Done(self.revision)
    }

    fn update_member(
        &mut self,
        name: &str,
        limits: &Limits,
        update: impl FnOnce(&mut Member),
    ) -> CommandResult {
        let Some(member) = self.members.get_mut(name) else { return CommandResult::NotLiving };
        self.revision += 1;
        member.revision = self.revision;
        update(member);
        let member = member.clone();
        self.record_change(ChangedItem::Member(name.into(), Some(member)), limits);
        CommandResult::Done(self.revision)
    }
}
