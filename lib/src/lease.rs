//! Decides whether this process holds a duty that only one process may carry out at a time.
//!
//! The lease lives on the log. Its fencing number is the offset of the record that acquired it. A
//! holder stops by its own clock, counted from before its last confirmed record was sent; another
//! process starts only after it has seen no record for longer than that, counted from when it read
//! the last one, and after the log has accepted its own record with none in between. Why that
//! leaves at most one holder is in `docs/design/leases.md`.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::ids::FencingNumber;
use crate::ids::HostId;
use crate::ids::Incarnation;
use crate::ids::LogOffset;
use crate::lease_codec::LeaseDuty;
use crate::lease_codec::LeaseRecord;
use crate::lease_codec::LeaseStatement;
use crate::lease_codec::encode_record;
use crate::timestamp::Timestamp;

/// Renewals are sent this often in the time of a lease.
const RENEWALS_PER_TERM: u32 = 4;

/// Longest extra wait of a host before it acquires.
const MAX_STAGGER: Duration = Duration::from_secs(5);

/// Parts of the clock error's unit.
const PERMILLE: u32 = 1_000;

/// Times and identity of a lease.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct LeaseSettings {
    /// Duty.
    pub duty: LeaseDuty,
    /// This host.
    pub host: HostId,
    /// Life of this host.
    pub incarnation: Incarnation,
    /// Time for which a record keeps the duty.
    pub term: Duration,
    /// Longest time from the check of the lease until an order has its effect or never will.
    pub order_timeout: Duration,
    /// Largest error of any host's clock rate, in thousandths.
    pub clock_error_permille: u32,
    /// Extra wait of this host before it acquires, so that hosts do not all try at once.
    pub stagger: Duration,
}

impl LeaseSettings {
    /// Returns the usual times for a host.
    pub fn new(duty: LeaseDuty, host: HostId, incarnation: Incarnation) -> Self {
        let host_hash = blake3::hash(host.as_str().as_bytes());
        let stagger = MAX_STAGGER * u32::from(host_hash.as_bytes()[0]) / 256;
        Self {
            duty,
            host,
            incarnation,
            term: Duration::from_secs(10),
            order_timeout: Duration::from_secs(2),
            clock_error_permille: 10,
            stagger,
        }
    }
}

/// What happened.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseEvent {
    /// A read returned; the records are those of the stream in offset order.
    Read {
        /// Decoded records with their offsets.
        records: Vec<(LogOffset, LeaseRecord)>,
        /// Offset to read from next.
        position: LogOffset,
        /// Whether that is the end of the stream.
        at_end: bool,
    },
    /// Records were gone before they could be read; reading goes on at the offset.
    Gap(LogOffset),
    /// The append under way took effect.
    Appended,
    /// The append under way failed, or its fate is unknown.
    AppendFailed,
    /// Whether this process should hold the duty changed.
    Want(bool),
    /// Time passed.
    Tick,
}

/// What to do.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum LeaseAction {
    /// Append the record, then report the result.
    Append(Vec<u8>),
}

/// A lease held by this process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct OwnLease {
    fence: FencingNumber,
    valid_until: Timestamp,
    /// A release was sent and may take effect at any time, so the lease is not used again.
    releasing: bool,
}

/// State of one duty as this process sees it.
#[derive(Clone, Debug)]
pub struct LeaseHolder {
    settings: LeaseSettings,
    position: LogOffset,
    /// Every record from this offset up to `position` was read.
    known_from: LogOffset,
    read_to_end: bool,
    last_record: Option<LogOffset>,
    /// Holder by the records read: fencing number, host and life.
    current: Option<(FencingNumber, HostId, Incarnation)>,
    released: bool,
    quiet_since: Option<Timestamp>,
    own: Option<OwnLease>,
    wanted: bool,
    stopped_at: Timestamp,
    last_sequence: u64,
    sent_at: BTreeMap<u64, Timestamp>,
    in_flight: bool,
    next_append: Timestamp,
}

impl LeaseHolder {
    /// Builds the state of a process that has read nothing yet.
    pub fn new(settings: LeaseSettings) -> Self {
        Self {
            settings,
            position: LogOffset::default(),
            known_from: LogOffset::default(),
            read_to_end: false,
            last_record: None,
            current: None,
            released: false,
            quiet_since: None,
            own: None,
            wanted: false,
            stopped_at: Timestamp::default(),
            last_sequence: 0,
            sent_at: BTreeMap::new(),
            in_flight: false,
            next_append: Timestamp::default(),
        }
    }

    /// Returns the duty.
    pub fn duty(&self) -> LeaseDuty {
        self.settings.duty
    }

    /// Returns the fencing number if an order sent right now still has its effect, or none, before
    /// another process may hold the duty.
    ///
    /// Call it right before each order and send with [`LeaseSettings::order_timeout`].
    pub fn may_act(&self, now: Timestamp) -> Option<FencingNumber> {
        let own = self.own.filter(|own| self.wanted && !own.releasing)?;
        let order_time = self.stretched(self.settings.order_timeout);
        (now + order_time < own.valid_until).then_some(own.fence)
    }

    /// Returns the holder by the records read, whether or not its time has passed.
    pub fn current_holder(&self) -> Option<(FencingNumber, &HostId)> {
        self.current.as_ref().map(|(fence, host, _)| (*fence, host))
    }

    /// Returns when [`LeaseEvent::Tick`] is due, if nothing else happens before.
    pub fn next_wake(&self, now: Timestamp) -> Timestamp {
        self.next_append.max(now + self.renew_interval() / RENEWALS_PER_TERM)
    }

    /// Takes one event and returns what to do.
    pub fn on_event(&mut self, now: Timestamp, event: LeaseEvent) -> Vec<LeaseAction> {
        match event {
            LeaseEvent::Read { records, position, at_end } => {
                self.quiet_since.get_or_insert(now);
                for (offset, record) in records {
                    self.on_record(now, offset, record);
                }
                self.position = position;
                self.read_to_end = at_end;
            }
            LeaseEvent::Gap(first) => self.on_gap(first),
            LeaseEvent::Appended => self.in_flight = false,
            LeaseEvent::AppendFailed => {
                self.in_flight = false;
                self.next_append = now + self.renew_interval() / RENEWALS_PER_TERM;
            }
            LeaseEvent::Want(wanted) => {
                if self.wanted && !wanted {
                    self.stopped_at = now;
                }
                self.wanted = wanted;
            }
            LeaseEvent::Tick => {}
        }
        self.next_record(now).into_iter().map(LeaseAction::Append).collect()
    }

    fn renew_interval(&self) -> Duration {
        self.settings.term / RENEWALS_PER_TERM
    }

    /// Returns the time for which a holder may act, by its own clock.
    fn own_term(&self) -> Duration {
        let term = self.settings.term;
        term - term * self.settings.clock_error_permille / PERMILLE
    }

    /// Returns the time that this process's clock may show when the given time has passed.
    fn stretched(&self, time: Duration) -> Duration {
        time + time * self.settings.clock_error_permille / PERMILLE
    }

    fn is_own(&self, record: &LeaseRecord) -> bool {
        record.host == self.settings.host && record.incarnation == self.settings.incarnation
    }

    fn on_record(&mut self, now: Timestamp, offset: LogOffset, record: LeaseRecord) {
        if record.duty != self.settings.duty {
            return;
        }
        match record.statement {
            LeaseStatement::Acquire { basis } => self.on_acquire(offset, basis, &record),
            LeaseStatement::Renew(fence) => self.on_renewal(fence, &record),
            LeaseStatement::Release(fence) => {
                let current = self.current.as_ref();
                if current.is_some_and(|(current, ..)| *current == fence) {
                    self.current = None;
                    self.own = None;
                    self.released = true;
                }
            }
        }
        self.last_record = Some(offset);
        self.quiet_since = Some(now);
    }

    fn on_acquire(&mut self, offset: LogOffset, basis: LogOffset, record: &LeaseRecord) {
        if self.last_record.is_some_and(|last| last >= basis) {
            return;
        }
        if basis < self.known_from {
            // A record that was not read may have blocked it: the holder is not known.
            self.current = None;
            self.own = None;
            return;
        }
        let fence = FencingNumber(offset.0);
        self.current = Some((fence, record.host.clone(), record.incarnation));
        self.released = false;
        self.own = self.is_own(record).then(|| OwnLease {
            fence,
            valid_until: self.validity_of(record.sequence),
            releasing: false,
        });
    }

    fn on_renewal(&mut self, fence: FencingNumber, record: &LeaseRecord) {
        let valid_until = self.validity_of(record.sequence);
        let is_own = self.is_own(record);
        if let Some(own) = self.own.as_mut().filter(|own| is_own && own.fence == fence) {
            own.valid_until = own.valid_until.max(valid_until);
        }
    }

    /// Returns until when the record with the number keeps the duty for this process.
    fn validity_of(&self, sequence: u64) -> Timestamp {
        self.sent_at.get(&sequence).map_or(Timestamp::default(), |&sent| sent + self.own_term())
    }

    /// Forgets what was read: an unseen record may have ended a lease or begun one.
    fn on_gap(&mut self, first: LogOffset) {
        self.position = first;
        self.known_from = first;
        self.read_to_end = false;
        self.last_record = None;
        self.current = None;
        self.released = false;
        self.quiet_since = None;
        self.own = None;
    }

    fn next_record(&mut self, now: Timestamp) -> Option<Vec<u8>> {
        if self.in_flight || now < self.next_append {
            return None;
        }
        let statement = self.next_statement(now)?;
        if let (LeaseStatement::Release(_), Some(own)) = (statement, self.own.as_mut()) {
            own.releasing = true;
        }
        self.last_sequence += 1;
        let oldest = now - self.settings.term;
        self.sent_at.retain(|_, sent| *sent >= oldest);
        self.sent_at.insert(self.last_sequence, now);
        self.in_flight = true;
        self.next_append = now + self.renew_interval();
        Some(encode_record(&LeaseRecord {
            duty: self.settings.duty,
            host: self.settings.host.clone(),
            incarnation: self.settings.incarnation,
            sequence: self.last_sequence,
            statement,
        }))
    }

    fn next_statement(&self, now: Timestamp) -> Option<LeaseStatement> {
        match (self.own, self.wanted) {
            (Some(own), _) if own.releasing => Some(LeaseStatement::Release(own.fence)),
            (Some(own), true) => Some(LeaseStatement::Renew(own.fence)),
            (Some(own), false) => {
                let orders_ended =
                    now >= self.stopped_at + self.stretched(self.settings.order_timeout);
                orders_ended.then_some(LeaseStatement::Release(own.fence))
            }
            (None, true) if self.may_acquire(now) => {
                Some(LeaseStatement::Acquire { basis: self.position })
            }
            (None, _) => None,
        }
    }

    fn may_acquire(&self, now: Timestamp) -> bool {
        let wait = match self.released {
            true => self.settings.stagger,
            false => self.stretched(self.settings.term) + self.settings.stagger,
        };
        self.read_to_end && self.quiet_since.is_some_and(|since| now >= since + wait)
    }
}
