//! Follows topics of the platform's store: the configuration and the targets.

use std::{
    collections::{HashMap, HashSet},
    rc::Rc,
    sync::Arc,
    time::Duration,
};

use tokio::{sync::Notify, time::Instant};

use super::shell::{DirectDriver, STORE_READ_OK};
use crate::{
    direct::{DirectEvent, DirectTarget, ReadSchedule, StoreGeneration, TargetChange},
    ids::TargetId,
    platform::{
        configuration, discovery,
        settings::PlatformSettings,
        store::{
            KeyedRecord, PageTransfer, RecordPage, StoreClient, StoreError, TopicNeed,
            TopicPosition,
        },
    },
};

/// Initial and maximum backoff after a failed read.
const RETRY_BACKOFF: (Duration, Duration) =
    (Duration::from_millis(100), Duration::from_millis(800));
/// Shortest pause before a read that a request waits for, so that many requests share one.
const DEMAND_PAUSE: Duration = Duration::from_millis(100);

/// Size of a read from which it is logged, in bytes.
const LARGE_READ_BYTES: usize = 64 * 1024;

/// Starts to follow the configuration and the targets.
pub(super) fn spawn(settings: &PlatformSettings, driver: &Rc<DirectDriver>) {
    let (configuration_bound, drain_bound) = (settings.configuration_bound, settings.drain_bound);
    let (configuration_driver, target_driver) = (driver.clone(), driver.clone());
    tokio::task::spawn_local(async move {
        let follower = ConfigurationFollower { driver: configuration_driver.clone() };
        let schedule = ReadSchedule::of_configuration(configuration_bound);
        let need = TopicNeed::Newest;
        let topic = FollowedTopic { name: configuration::TOPIC, need, schedule };
        follow(&configuration_driver, topic, follower).await;
    });
    tokio::task::spawn_local(async move {
        let follower = TargetFollower::new(target_driver.clone());
        let schedule = ReadSchedule::of_targets(drain_bound);
        let need = TopicNeed::All;
        let topic = FollowedTopic { name: discovery::TOPIC, need, schedule };
        follow(&target_driver, topic, follower).await;
    });
}

/// Topic of the store, which of its records are needed and how often it is read.
#[derive(Debug, Clone, Copy)]
pub(super) struct FollowedTopic {
    pub(super) name: &'static str,
    pub(super) need: TopicNeed,
    pub(super) schedule: ReadSchedule,
}

/// Consumer of the records of a topic.
pub(super) trait TopicFollower {
    /// Applies the newest record of every key of the topic.
    fn apply_snapshot(&mut self, records: Vec<KeyedRecord>);
    /// Applies new records in order.
    fn apply_changes(&mut self, records: Vec<KeyedRecord>);
    /// Called after a failed read, except when records were deleted.
    fn store_unavailable(&mut self);
    /// Called before a snapshot of a store that was restored from an older copy: records may be
    /// missing that are written again, and removed ones present.
    fn store_restored(&mut self) {}
    /// Returns the time from a restore of the store to the snapshot.
    fn restore_delay(&self) -> Duration {
        Duration::ZERO
    }
    /// Called after each read, for periodic work.
    fn after_read(&mut self);
    /// Called after a read that reached the end of the topic and began `age` ago.
    fn read_to_end(&mut self, _age: Duration) {}
    /// Returns what is notified when the topic has to be read at once.
    fn demand(&self) -> Rc<Notify> {
        Rc::default()
    }
}

/// Reads a snapshot of a topic and then its changes, without end. Starts again from a
/// snapshot if the store has deleted changes that were not read yet or was restored from an
/// older copy, if only the newest records are needed and more are unread than a page holds, or after a malformed response.
pub(super) async fn follow(
    driver: &DirectDriver,
    followed: FollowedTopic,
    mut follower: impl TopicFollower,
) {
    let FollowedTopic { name: topic, need, schedule } = followed;
    let ReadSchedule { pause, poll_wait } = schedule;
    let mut reader = TopicReader::new(followed, driver.store_client());
    let demand = follower.demand();
    let mut is_demanded = false;
    let mut backoff = RETRY_BACKOFF.0;
    let mut reachable = true;
    loop {
        let started = Instant::now();
        // After a failure the store may be another copy, which the response shows at once.
        let wait = if is_demanded || !reachable { Duration::ZERO } else { poll_wait };
        let holds_read = reader.next.is_some();
        let read = tokio::select! {
            biased;
            result = reader.read(wait) => Some(result),
            () = demand.notified(), if holds_read && !is_demanded => None,
        };
        let Some(result) = read else {
            reader.store.disconnect();
            is_demanded = true;
            continue;
        };
        is_demanded = false;
        let label = result.as_ref().map_or_else(StoreError::label, |_| STORE_READ_OK);
        driver.record_store_read(topic, label, started.elapsed());
        match result {
            Ok(read) => {
                let age = driver.topic_age(topic);
                if !reachable {
                    log::info!(topic:% = topic, age_ms:% = age.as_millis(); "store reachable again");
                }
                reachable = true;
                backoff = RETRY_BACKOFF.0;
                let (reached_end, is_empty) = (read.page.reached_end, read.page.records.is_empty());
                driver.record_page(topic, &read.page);
                log_large_read(topic, &read.page, age);
                apply(&mut follower, read);
                if reached_end {
                    follower.read_to_end(started.elapsed());
                }
                follower.after_read();
                if !reached_end && need == TopicNeed::Newest {
                    // A snapshot has the newest record only, however many are unread.
                    reader.next = None;
                }
                // What is left of a topic is read at once, unless the store sent nothing of it.
                if reached_end || is_empty {
                    is_demanded = reader.pause(&demand, pause).await;
                }
            }
            Err(StoreError::Replaced { end }) => {
                log::info!(
                    topic:% = topic, end:% = end, age_ms:% = driver.topic_age(topic).as_millis();
                    "newer records replace unread ones; reading the topic from a snapshot"
                );
                reader.next = None;
            }
            Err(StoreError::Deleted { first }) => {
                log::info!(
                    topic:% = topic, first:% = first;
                    "unread records were deleted; reading the topic from a snapshot"
                );
                reader.next = None;
            }
            Err(StoreError::Restored) if reader.next.is_some() => {
                log::info!(topic:% = topic; "store restored; reading the topic from a snapshot");
                reader.store.disconnect();
                reader.next = None;
                tokio::time::sleep(follower.restore_delay()).await;
            }
            Err(error) => {
                if reachable {
                    let age_ms = driver.topic_age(topic).as_millis();
                    log::warn!(
                        topic:% = topic, age_ms:% = age_ms, error:% = error;
                        "store unreachable"
                    );
                }
                reachable = false;
                if error == StoreError::Malformed {
                    reader.next = None;
                }
                follower.store_unavailable();
                follower.after_read();
                tokio::time::sleep(backoff).await;
                backoff = (backoff * 2).min(RETRY_BACKOFF.1);
            }
        }
    }
}

/// Logs a read that may take long, as it is large. `age` is the time since the last read to the
/// topic's end.
fn log_large_read(topic: &'static str, page: &RecordPage, age: Duration) {
    let PageTransfer { bytes, time } = page.transfer;
    if bytes >= LARGE_READ_BYTES {
        log::info!(
            topic:% = topic, bytes:% = bytes, read_ms:% = time.as_millis(),
            age_ms:% = age.as_millis(), reached_end:% = page.reached_end;
            "large read of the store"
        );
    }
}

/// Reader of one topic, with the position of the next read.
struct TopicReader {
    topic: &'static str,
    need: TopicNeed,
    store: StoreClient,
    /// `None` if the next read is a snapshot.
    next: Option<TopicPosition>,
    /// Generation of the last snapshot, if the store stated it.
    generation: Option<StoreGeneration>,
}

/// Records of one read.
struct TopicRead {
    page: RecordPage,
    is_snapshot: bool,
    /// Whether it is the first snapshot since the store was restored from an older copy.
    is_restored: bool,
}

impl TopicReader {
    fn new(followed: FollowedTopic, store: StoreClient) -> TopicReader {
        let FollowedTopic { name: topic, need, .. } = followed;
        TopicReader { topic, need, store, next: None, generation: None }
    }

    /// Reads a snapshot or the next changes, which the store waits for.
    async fn read(&mut self, wait: Duration) -> Result<TopicRead, StoreError> {
        let Some(from) = self.next else { return self.read_snapshot().await };
        let generations = self.store.generations().clone();
        let page = tokio::select! {
            biased;
            result = self.store.read_from(self.topic, from, self.need, wait) => result?,
            _ = generations.wait_for_restore(from.generation) => return Err(StoreError::Restored),
        };
        self.next = Some(page.next);
        Ok(TopicRead { page, is_snapshot: false, is_restored: false })
    }

    async fn read_snapshot(&mut self) -> Result<TopicRead, StoreError> {
        let page = self.store.read_newest(self.topic).await?;
        let generation = page.next.generation;
        let before = std::mem::replace(&mut self.generation, generation);
        let is_restored = before.is_some() && before < generation;
        self.next = Some(page.next);
        Ok(TopicRead { page, is_snapshot: true, is_restored })
    }

    /// Waits between two reads, and returns whether the next one is demanded before the time is
    /// over. A restore of the store ends the wait.
    async fn pause(&self, demand: &Notify, pause: Duration) -> bool {
        let shortest = DEMAND_PAUSE.min(pause);
        let generations = self.store.generations();
        let known = generations.highest();
        tokio::time::sleep(shortest).await;
        tokio::select! {
            biased;
            () = demand.notified() => true,
            _ = generations.wait_for_restore(known) => false,
            () = tokio::time::sleep(pause - shortest) => false,
        }
    }
}

fn apply(follower: &mut impl TopicFollower, read: TopicRead) {
    let TopicRead { page, is_snapshot, is_restored } = read;
    if is_restored {
        follower.store_restored();
    }
    if is_snapshot {
        follower.apply_snapshot(page.records);
    } else if !page.records.is_empty() {
        follower.apply_changes(page.records);
    }
}

struct ConfigurationFollower {
    driver: Rc<DirectDriver>,
}

impl TopicFollower for ConfigurationFollower {
    fn apply_snapshot(&mut self, records: Vec<KeyedRecord>) {
        self.apply_changes(records);
    }

    fn apply_changes(&mut self, records: Vec<KeyedRecord>) {
        let newest = records.into_iter().rev().filter(|record| record.key == configuration::KEY);
        for value in newest.filter_map(|record| record.value) {
            let started = Instant::now();
            match configuration::decode(&value) {
                Ok(routes) => {
                    log::info!(
                        version:% = routes.version, routes:% = routes.routes.len(),
                        bytes:% = value.len(), decode_ms:% = started.elapsed().as_millis();
                        "configuration read"
                    );
                    self.driver.records.borrow_mut().set_configuration(value);
                    self.driver.step(DirectEvent::Routes(Arc::new(routes)));
                    return;
                }
                Err(error) => log::warn!(error:% = error; "malformed configuration ignored"),
            }
        }
    }

    fn store_unavailable(&mut self) {}

    fn after_read(&mut self) {}
}

struct TargetFollower {
    driver: Rc<DirectDriver>,
    /// Targets whose registration was logged.
    registered: HashSet<TargetId>,
    /// Offsets of the records in the last snapshot. Its pages are not of one moment, so that
    /// changes which follow it may be older than what it held.
    offsets: HashMap<TargetId, u64>,
}

impl TargetFollower {
    fn new(driver: Rc<DirectDriver>) -> TargetFollower {
        TargetFollower { driver, registered: HashSet::new(), offsets: HashMap::new() }
    }

    fn decode(&self, record: &KeyedRecord) -> Option<DirectTarget> {
        let value = record.value.as_ref()?;
        match discovery::decode(&record.key, value) {
            Ok(target) => {
                let mut records = self.driver.records.borrow_mut();
                records.set_target(&record.key, Some(value.clone()));
                Some(target)
            }
            Err(error) => {
                log::info!(error:% = error; "malformed target registration ignored");
                None
            }
        }
    }

    fn log_registration(&mut self, target: &DirectTarget) {
        let is_new = self.registered.insert(target.id.clone());
        if is_new || target.leaving {
            log::info!(
                target_id:% = target.id, service:% = target.service, stage:% = target.stage,
                version:% = target.version, leaving:% = target.leaving;
                "target registered"
            );
        }
    }

    fn log_removal(&mut self, id: &TargetId) {
        if self.registered.remove(id) {
            log::info!(target_id:% = id; "target registration removed");
        }
    }

    fn apply(&self, change: TargetChange) {
        self.driver.step(DirectEvent::Target(change));
    }
}

impl TopicFollower for TargetFollower {
    fn apply_snapshot(&mut self, records: Vec<KeyedRecord>) {
        let offsets = records.iter().map(|record| (record.key.as_str().into(), record.offset));
        self.offsets = offsets.collect();
        let present: HashSet<TargetId> =
            records.iter().map(|record| record.key.as_str().into()).collect();
        self.driver.records.borrow_mut().retain_targets(|id| present.contains(id));
        let targets: Vec<DirectTarget> =
            records.iter().filter_map(|record| self.decode(record)).collect();
        let missing = self.registered.iter().filter(|id| !present.contains(*id)).cloned();
        missing.collect::<Vec<TargetId>>().iter().for_each(|id| self.log_removal(id));
        targets.iter().for_each(|target| self.log_registration(target));
        let present = present.into_iter().collect();
        self.apply(TargetChange::Snapshot { present, targets });
    }

    fn apply_changes(&mut self, records: Vec<KeyedRecord>) {
        for record in &records {
            if self.offsets.get(record.key.as_str()).is_some_and(|known| record.offset < *known) {
                continue;
            }
            if record.value.is_none() {
                let id: TargetId = record.key.as_str().into();
                self.log_removal(&id);
                self.driver.records.borrow_mut().set_target(&id, None);
                self.apply(TargetChange::Removed(id));
            } else if let Some(target) = self.decode(record) {
                self.log_registration(&target);
                self.apply(TargetChange::Listed(target));
            }
        }
    }

    fn store_unavailable(&mut self) {
        self.apply(TargetChange::ReadFailed);
    }

    fn store_restored(&mut self) {
        self.apply(TargetChange::StoreRestored);
    }

    fn after_read(&mut self) {
        self.driver.pools.close_expired();
    }

    fn read_to_end(&mut self, age: Duration) {
        self.driver.step(DirectEvent::TargetsRead { age });
    }

    fn demand(&self) -> Rc<Notify> {
        self.driver.target_demand.clone()
    }
}
