//! Simulated links between entries and sides.

use std::time::Duration;

use sapphirewell::{
    entry::EntryEvent,
    frame::{EntryFrame, SideFrame},
    side::{LinkId, SideEvent},
};

use super::{
    NodeInput, Rig, RigEvent,
    nodes::{NodeId, NodeState, side_name},
};

const CONNECT_RETRY_DELAY: Duration = Duration::from_millis(300);

/// The links of all pairs of an entry and a side, indexed by entry, then side.
pub(crate) struct LinkTable {
    links: Vec<Vec<RigLink>>,
    next_epoch: u64,
}

#[derive(Clone, Default)]
struct RigLink {
    /// Unique number of the current connection; 0 while disconnected.
    epoch: u64,
    connecting: bool,
    /// Whether the path to the side is cut, for existing and new connections alike.
    cut_to_side: bool,
    cut_to_entry: bool,
    /// Epoch of the connection that drops all messages to the side; 0 if none.
    silent_to_side: u64,
    silent_to_entry: u64,
}

/// Direction of a link that a fault affects.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum LinkDirection {
    /// Messages from the entry to the side.
    ToSide,
    /// Messages from the side to the entry.
    ToEntry,
    /// Messages in both directions.
    Both,
}

impl LinkTable {
    pub(super) fn new(entries: usize, sides: usize) -> LinkTable {
        LinkTable { links: vec![vec![RigLink::default(); sides]; entries], next_epoch: 0 }
    }

    pub(super) fn is_current(&self, entry: usize, side: usize, epoch: u64) -> bool {
        epoch != 0 && self.links[entry][side].epoch == epoch
    }

    pub(super) fn find_entry(&self, side: usize, epoch: u64) -> Option<usize> {
        (0..self.links.len()).find(|entry| self.links[*entry][side].epoch == epoch)
    }

    pub(super) fn set_cut(
        &mut self,
        entry: usize,
        side: usize,
        direction: LinkDirection,
        cut: bool,
    ) {
        let link = &mut self.links[entry][side];
        if direction != LinkDirection::ToEntry {
            link.cut_to_side = cut;
        }
        if direction != LinkDirection::ToSide {
            link.cut_to_entry = cut;
        }
    }

    pub(super) fn silence(&mut self, entry: usize, side: usize, direction: LinkDirection) {
        let link = &mut self.links[entry][side];
        if direction != LinkDirection::ToEntry {
            link.silent_to_side = link.epoch;
        }
        if direction != LinkDirection::ToSide {
            link.silent_to_entry = link.epoch;
        }
    }

    pub(super) fn is_cut(&self, entry: usize, side: usize) -> bool {
        let link = &self.links[entry][side];
        link.cut_to_side || link.cut_to_entry
    }
}

impl Rig {
    /// Starts a connection to each attached side that the entry knows and isn't linked to.
    pub(super) fn open_missing_links(&mut self, entry: usize) {
        for side in 0..self.sides.len() {
            let known = self.entries[entry].base.fleet.view().sides.get(&side_name(side));
            let wanted = known.is_some_and(|known| !known.detached);
            let link = &mut self.links.links[entry][side];
            if wanted && link.epoch == 0 && !link.connecting {
                link.connecting = true;
                let delay = self.settings.network_delay;
                self.schedule_after(delay * 2, RigEvent::Connect { entry, side });
            }
        }
    }

    pub(super) fn connect(&mut self, entry: usize, side: usize) {
        let running = |state| state == NodeState::Running;
        let connectable = running(self.entries[entry].base.state)
            && running(self.sides[side].base.state)
            && !self.links.is_cut(entry, side);
        if !connectable {
            let should_retry = self.entries[entry].base.state != NodeState::Ended;
            if should_retry {
                self.schedule_after(CONNECT_RETRY_DELAY, RigEvent::Connect { entry, side });
            } else {
                self.links.links[entry][side].connecting = false;
            }
            return;
        }
        self.links.next_epoch += 1;
        let epoch = self.links.next_epoch;
        let link = &mut self.links.links[entry][side];
        link.connecting = false;
        link.epoch = epoch;
        self.step_entry(entry, EntryEvent::LinkUp { side: side_name(side) });
        self.step_side(side, SideEvent::LinkUp { link: epoch });
    }

    pub(super) fn send_to_side(&mut self, entry: usize, side: usize, frame: EntryFrame) {
        let link = &self.links.links[entry][side];
        let epoch = link.epoch;
        if epoch == 0 || link.cut_to_side || link.silent_to_side == epoch {
            return;
        }
        let incarnation = self.sides[side].base.incarnation;
        let input = NodeInput::FromEntry { entry, epoch, frame: Box::new(frame) };
        let event = RigEvent::Deliver { node: NodeId::Side(side), incarnation, input };
        self.schedule_after(self.settings.network_delay, event);
    }

    pub(super) fn send_to_entry(&mut self, side: usize, epoch: LinkId, frame: SideFrame) {
        let Some(entry) = self.links.find_entry(side, epoch) else { return };
        let link = &self.links.links[entry][side];
        if link.cut_to_entry || link.silent_to_entry == epoch {
            return;
        }
        let incarnation = self.entries[entry].base.incarnation;
        let input = NodeInput::FromSide { side, epoch, frame: Box::new(frame) };
        let event = RigEvent::Deliver { node: NodeId::Entry(entry), incarnation, input };
        self.schedule_after(self.settings.network_delay, event);
    }

    /// Closes a connection from the entry's end; the side is notified unless the path to it is cut.
    pub(super) fn close_link(&mut self, entry: usize, side: usize) {
        let epoch = std::mem::take(&mut self.links.links[entry][side].epoch);
        if epoch == 0 || self.links.links[entry][side].cut_to_side {
            return;
        }
        let incarnation = self.sides[side].base.incarnation;
        let input = NodeInput::Side(Box::new(SideEvent::LinkDown { link: epoch }));
        self.schedule_after(
            self.settings.network_delay,
            RigEvent::Deliver { node: NodeId::Side(side), incarnation, input },
        );
    }

    /// Closes a connection from the side's end and notifies the entry.
    pub(super) fn close_link_by_epoch(&mut self, side: usize, epoch: LinkId) {
        let Some(entry) = self.links.find_entry(side, epoch) else { return };
        if epoch == 0 {
            return;
        }
        self.links.links[entry][side].epoch = 0;
        let incarnation = self.entries[entry].base.incarnation;
        let input = NodeInput::Entry(Box::new(EntryEvent::LinkDown { side: side_name(side) }));
        self.schedule_after(
            self.settings.network_delay,
            RigEvent::Deliver { node: NodeId::Entry(entry), incarnation, input },
        );
    }

    /// Drops a connection because one of its processes ended. Both ends are notified unless the
    /// path is cut.
    pub(super) fn break_link(&mut self, entry: usize, side: usize) {
        let epoch = std::mem::take(&mut self.links.links[entry][side].epoch);
        if epoch == 0 || self.links.is_cut(entry, side) {
            return;
        }
        let delay = self.settings.network_delay;
        let incarnation = self.entries[entry].base.incarnation;
        let input = NodeInput::Entry(Box::new(EntryEvent::LinkDown { side: side_name(side) }));
        self.schedule_after(
            delay,
            RigEvent::Deliver { node: NodeId::Entry(entry), incarnation, input },
        );
        let incarnation = self.sides[side].base.incarnation;
        let input = NodeInput::Side(Box::new(SideEvent::LinkDown { link: epoch }));
        self.schedule_after(
            delay,
            RigEvent::Deliver { node: NodeId::Side(side), incarnation, input },
        );
    }
}
