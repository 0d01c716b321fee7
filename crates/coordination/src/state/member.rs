//! Members: who takes part, and whether each is counted on.

use super::change::ChangedItem;
use super::command::CommandResult;
use super::{invalid_name, Revision, State};
use crate::{LimitExceeded, Limits};
use serde::{Deserialize, Serialize};

/// Whether a member is counted on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum MemberStatus {
    /// Its lease has not ended by the council's count.
    Living,
    /// A newer incarnation waits for this one's lease to end; it is not renewed any more.
    Superseded,
    /// It said that it went.
    Left,
    /// Its lease ran out.
    Expired,
}

impl MemberStatus {
    /// Its lease may still be believed by its holder.
    pub fn may_hold_lease(self) -> bool {
        matches!(self, MemberStatus::Living | MemberStatus::Superseded)
    }
}

/// A process that takes part.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Higher with each start of a process of this name.
    pub incarnation: u64,
    /// What the process drew at its start, so that a repeat of its joining is known.
    pub nonce: u64,
    /// Where it stands.
    pub site: String,
    /// Of the program.
    pub version: String,
    /// Where its operators call.
    pub address: String,
    /// It says that it can serve.
    pub ready: bool,
    /// The number of the report that said so.
    #[serde(rename = "report")]
    pub last_report: u64,
    /// Whether it is counted on.
    #[serde(rename = "standing")]
    pub status: MemberStatus,
    /// The revision of the last change.
    pub revision: Revision,
}

/// Whether a member is an agent, as against an operator's wrapper or a controller.
pub fn is_agent(name: &str) -> bool {
    !name.contains(':')
}

impl State {
    pub(super) fn join(
        &mut self,
        name: &str,
        (nonce, after): (u64, u64),
        about: [&String; 3],
        bounds: &Limits,
    ) -> CommandResult {
        let [site, version, address] = about;
        let faults = [("name", name), ("site", site), ("version", version), ("address", address)];
        if let Some(fault) = faults.iter().find_map(|(what, text)| invalid_name(what, text)) {
            return CommandResult::Refused(fault);
        }
        if name.is_empty() {
            return CommandResult::Refused("name: wanted one".into());
        }
        if let Some(member) = self.members.get(name) {
            let incarnation = member.incarnation;
            if member.nonce == nonce {
                // Asked again, since the reply was lost.
                return match member.status {
                    MemberStatus::Living => CommandResult::Joined { incarnation },
                    _ => CommandResult::NotLiving,
                };
            }
            if incarnation != after {
                return CommandResult::Present { incarnation };
            }
            match member.status {
                MemberStatus::Living => {
                    self.update_member(name, bounds, |member| member.status = MemberStatus::Superseded);
                    return CommandResult::Wait { incarnation };
                }
                MemberStatus::Superseded => return CommandResult::Wait { incarnation },
                MemberStatus::Left | MemberStatus::Expired => {}
            }
        } else if after != 0 {
            return CommandResult::Present { incarnation: 0 };
        } else if self.members.len() >= bounds.members {
            return CommandResult::Over(LimitExceeded::new("members", bounds.members));
        }
        self.revision += 1;
        let incarnation = self.open_session(bounds);
        let [site, version, address] = about.map(Clone::clone);
        let standing = MemberStatus::Living;
        let revision = self.revision;
        let (ready, report) = (false, 0);
        let member = Member {
            incarnation,
            nonce,
            site,
            version,
            address,
            ready,
            last_report: report,
            status: standing,
            revision,
        };
        self.members.insert(name.into(), member.clone());
        self.record_change(ChangedItem::Member(name.into(), Some(member)), bounds);
        CommandResult::Joined { incarnation }
    }

    /// The member of this name, if it is this one and living.
    pub fn living_member(&self, name: &str, incarnation: u64) -> Option<&Member> {
        let member = self.members.get(name)?;
        (member.incarnation == incarnation && member.status == MemberStatus::Living).then_some(member)
    }

    pub(super) fn end_member(
        &mut self,
        name: &str,
        incarnation: u64,
        standing: MemberStatus,
        bounds: &Limits,
    ) -> CommandResult {
        let member = self.members.get(name);
        if !member.is_some_and(|member| member.incarnation == incarnation && member.status.may_hold_lease()) {
            return CommandResult::NotLiving;
        }
        self.sessions.remove(&incarnation);
        self.update_member(name, bounds, |member| {
            member.status = standing;
            member.ready = false;
        })
    }

    pub(super) fn update_member(
        &mut self,
        name: &str,
        bounds: &Limits,
        change: impl FnOnce(&mut Member),
    ) -> CommandResult {
        let Some(member) = self.members.get_mut(name) else { return CommandResult::NotLiving };
        self.revision += 1;
        member.revision = self.revision;
        change(member);
        let member = member.clone();
        self.record_change(ChangedItem::Member(name.into(), Some(member)), bounds);
        CommandResult::Done(self.revision)
    }
}
