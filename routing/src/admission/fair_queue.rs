//! Weighted fair queueing over accounts, and over the priorities within an
//! account.
//!
//! Agents queue work at one upstream with it, and gateways the streams of one rank.

use std::collections::BTreeSet;
use std::collections::HashMap;
use std::collections::VecDeque;

use jujubewall_types::id::AccountName;
use jujubewall_types::priority::Priority;
use slotmap::SlotMap;
use slotmap::new_key_type;

new_key_type! {
    /// The key of an account's queue.
    pub(super) struct AccountKey;
}

/// The virtual time of one unit of cost at weight one.
const VIRTUAL_TIME_PER_COST: u64 = 1 << 20;

/// The number of priorities.
const PRIORITY_COUNT: usize = 3;

/// The weights of the priorities within an account, in ascending priority.
const PRIORITY_WEIGHTS: [u32; PRIORITY_COUNT] = [1, 4, 16];

/// The maximum number of idle accounts that are kept in addition to the active
/// ones.
const MAX_IDLE_ACCOUNTS: usize = 4096;

/// The virtual time of one flow, which is an account or a priority of it.
#[derive(Clone, Copy, Debug, Default)]
struct Flow {
    /// The virtual finish time of the last served item.
    finish: u64,
}

impl Flow {
    /// Returns the virtual start time of the next item.
    fn start(self, virtual_now: u64) -> u64 {
        self.finish.max(virtual_now)
    }

    /// Charges the flow for an item that starts at `start`.
    fn charge(&mut self, start: u64, cost: u64, weight: u32) {
        self.finish = start.saturating_add(virtual_cost(cost, weight));
    }
}

/// Returns the virtual duration of an item.
fn virtual_cost(cost: u64, weight: u32) -> u64 {
    cost.saturating_mul(VIRTUAL_TIME_PER_COST) / u64::from(weight.max(1))
}

/// Returns the cost that is served at a weight within a span of virtual time.
fn cost_served_in(virtual_span: u64, weight: u32) -> u64 {
    virtual_span.saturating_mul(u64::from(weight.max(1))) / VIRTUAL_TIME_PER_COST
}

/// One waiting item.
#[derive(Debug)]
struct Item<T> {
    value: T,
    cost: u64,
    /// The place within the account and the priority: lower ones are served first.
    order: u64,
}

/// The queue of one account.
#[derive(Debug)]
struct AccountQueue<T> {
    name: AccountName,
    weight: u32,
    flow: Flow,
    /// The virtual start time under which the account is scheduled, or `None` when
    /// nothing waits.
    scheduled_start: Option<u64>,
    virtual_now: u64,
    classes: [VecDeque<Item<T>>; PRIORITY_COUNT],
    class_flows: [Flow; PRIORITY_COUNT],
    /// The total cost of the waiting items.
    queued_cost: u64,
}

impl<T> AccountQueue<T> {
    /// Returns the index of the priority that is served next.
    fn next_class(&self) -> Option<usize> {
        (0..PRIORITY_COUNT)
            .rev()
            .filter(|&class| !self.classes[class].is_empty())
            .min_by_key(|&class| self.class_flows[class].start(self.virtual_now))
    }

    /// Removes and returns the next item.
    fn pop(&mut self) -> Option<Item<T>> {
        let class = self.next_class()?;
        let item = self.classes[class].pop_front()?;
        let flow = &mut self.class_flows[class];
        let start = flow.start(self.virtual_now);
        self.virtual_now = start;
        flow.charge(start, item.cost, PRIORITY_WEIGHTS[class]);
        self.queued_cost -= item.cost;
        Some(item)
    }
}

/// Waiting items by account, served by start-time fair queueing.
#[derive(Debug)]
pub(super) struct FairQueue<T> {
    accounts: SlotMap<AccountKey, AccountQueue<T>>,
    by_name: HashMap<AccountName, AccountKey>,
    /// The accounts with waiting items by virtual start time.
    schedule_order: BTreeSet<(u64, AccountKey)>,
    virtual_now: u64,
    len: usize,
}

impl<T> FairQueue<T> {
    /// Creates an empty queue.
    pub(super) fn new() -> Self {
        Self {
            accounts: SlotMap::with_key(),
            by_name: HashMap::new(),
            schedule_order: BTreeSet::new(),
            virtual_now: 0,
            len: 0,
        }
    }

    /// Returns the number of waiting items.
    pub(super) fn len(&self) -> usize {
        self.len
    }

    /// Returns the cost that is served before a new item of an account.
    pub(super) fn cost_ahead(&self, name: &AccountName, weight: u32) -> u64 {
        let start = self.next_start(name, weight);
        let earlier = self
            .schedule_order
            .iter()
            .take_while(|&&(first, _)| first <= start);
        let ahead = earlier.map(|&(first, key)| {
            let account = &self.accounts[key];
            let served = cost_served_in(start - first, account.weight);
            account.queued_cost.min(served)
        });
        ahead.sum()
    }

    /// Returns the virtual start time of a new item of an account.
    fn next_start(&self, name: &AccountName, weight: u32) -> u64 {
        let Some(&key) = self.by_name.get(name) else {
            return self.virtual_now;
        };
        let account = &self.accounts[key];
        let scheduled = account.scheduled_start;
        let start = scheduled.unwrap_or_else(|| account.flow.start(self.virtual_now));
        start.saturating_add(virtual_cost(account.queued_cost, weight))
    }

    /// Charges an account for cost that was served without waiting.
    pub(super) fn charge(&mut self, name: &AccountName, weight: u32, cost: u64) {
        let key = self.intern(name, weight);
        let virtual_now = self.virtual_now;
        let flow = &mut self.accounts[key].flow;
        let start = flow.start(virtual_now);
        flow.charge(start, cost, weight);
        self.virtual_now = start;
    }

    /// Refunds cost that was charged but not used.
    pub(super) fn credit(&mut self, name: &AccountName, cost: u64) {
        let Some(&key) = self.by_name.get(name) else {
            return;
        };
        let is_scheduled = self.accounts[key].scheduled_start.is_some();
        self.unschedule(key);
        let account = &mut self.accounts[key];
        let unused = virtual_cost(cost, account.weight);
        account.flow.finish = account.flow.finish.saturating_sub(unused);
        if is_scheduled {
            self.schedule(key);
        }
    }

    /// Adds an item to the end of the queue of its account and priority.
    pub(super) fn push(
        &mut self,
        name: &AccountName,
        weight: u32,
        priority: Priority,
        cost: u64,
        value: T,
    ) {
        self.push_ordered(name, weight, priority, cost, 0, value);
    }

    /// Adds an item to the queue of its account and priority, behind those of the same or a
    /// lower order.
    pub(super) fn push_ordered(
        &mut self,
        name: &AccountName,
        weight: u32,
        priority: Priority,
        cost: u64,
        order: u64,
        value: T,
    ) {
        let key = self.intern(name, weight);
        let account = &mut self.accounts[key];
        let class = &mut account.classes[class_index(priority)];
        let index = class.partition_point(|item| item.order <= order);
        class.insert(index, Item { value, cost, order });
        account.queued_cost += cost;
        self.len += 1;
        self.schedule(key);
    }

    /// Removes and returns the item that is served next.
    pub(super) fn pop(&mut self) -> Option<T> {
        let (start, key) = self.schedule_order.pop_first()?;
        self.virtual_now = self.virtual_now.max(start);
        let account = &mut self.accounts[key];
        account.scheduled_start = None;
        let item = account.pop()?;
        account.flow.charge(start, item.cost, account.weight);
        self.len -= 1;
        if account.next_class().is_some() {
            self.schedule(key);
        }
        Some(item.value)
    }

    /// Returns the item that is served next.
    pub(super) fn peek(&self) -> Option<&T> {
        let (_, key) = self.schedule_order.first()?;
        let account = &self.accounts[*key];
        let class = &account.classes[account.next_class()?];
        class.front().map(|item| &item.value)
    }

    /// Removes and returns the last item of the account that would wait longest for all of its
    /// items, without charging it.
    pub(super) fn pop_last(&mut self) -> Option<T> {
        let finish = |&(start, key): &(u64, AccountKey)| {
            let account = &self.accounts[key];
            start.saturating_add(virtual_cost(account.queued_cost, account.weight))
        };
        let (_, key) = *self
            .schedule_order
            .iter()
            .max_by_key(|entry| finish(entry))?;
        let account = &mut self.accounts[key];
        let class = account.classes.iter_mut().find(|class| !class.is_empty())?;
        let item = class.pop_back()?;
        account.queued_cost -= item.cost;
        self.len -= 1;
        if account.next_class().is_none() {
            self.unschedule(key);
        }
        Some(item.value)
    }

    /// Removes the items of one account for which `should_remove` holds, without charging it.
    pub(super) fn remove_of_account(
        &mut self,
        name: &AccountName,
        mut should_remove: impl FnMut(&T) -> bool,
    ) -> Vec<T> {
        let mut removed = Vec::new();
        if let Some(&key) = self.by_name.get(name) {
            self.remove_from_account(key, &mut should_remove, &mut removed);
        }
        removed
    }

    /// Removes every item for which `should_remove` holds, without charging its
    /// account.
    pub(super) fn remove_where(&mut self, mut should_remove: impl FnMut(&T) -> bool) -> Vec<T> {
        let mut removed = Vec::new();
        let keys: Vec<AccountKey> = self.schedule_order.iter().map(|&(_, key)| key).collect();
        for key in keys {
            self.remove_from_account(key, &mut should_remove, &mut removed);
        }
        removed
    }

    fn remove_from_account(
        &mut self,
        key: AccountKey,
        should_remove: &mut impl FnMut(&T) -> bool,
        removed: &mut Vec<T>,
    ) {
        let account = &mut self.accounts[key];
        for class in &mut account.classes {
            let (removed_items, kept): (VecDeque<_>, VecDeque<_>) =
                class.drain(..).partition(|item| should_remove(&item.value));
            *class = kept;
            for item in removed_items {
                account.queued_cost -= item.cost;
                self.len -= 1;
                removed.push(item.value);
            }
        }
        if account.next_class().is_none() {
            self.unschedule(key);
        }
    }

    /// Schedules an account that has waiting items.
    fn schedule(&mut self, key: AccountKey) {
        let account = &mut self.accounts[key];
        if account.scheduled_start.is_some() {
            return;
        }
        let start = account.flow.start(self.virtual_now);
        account.scheduled_start = Some(start);
        self.schedule_order.insert((start, key));
    }

    fn unschedule(&mut self, key: AccountKey) {
        let account = &mut self.accounts[key];
        if let Some(start) = account.scheduled_start.take() {
            self.schedule_order.remove(&(start, key));
        }
    }

    fn intern(&mut self, name: &AccountName, weight: u32) -> AccountKey {
        if let Some(&key) = self.by_name.get(name) {
            self.accounts[key].weight = weight;
            return key;
        }
        self.evict_idle_accounts();
        let key = self.accounts.insert(AccountQueue {
            name: name.clone(),
            weight,
            flow: Flow::default(),
            scheduled_start: None,
            virtual_now: 0,
            classes: Default::default(),
            class_flows: Default::default(),
            queued_cost: 0,
        });
        self.by_name.insert(name.clone(), key);
        key
    }

    /// Evicts accounts that have no waiting items and whose virtual finish time has
    /// passed.
    fn evict_idle_accounts(&mut self) {
        if self.accounts.len() < MAX_IDLE_ACCOUNTS + self.schedule_order.len() {
            return;
        }
        let virtual_now = self.virtual_now;
        let by_name = &mut self.by_name;
        self.accounts.retain(|_, account| {
            let is_idle = account.scheduled_start.is_none() && account.flow.finish <= virtual_now;
            if is_idle {
                by_name.remove(&account.name);
            }
            !is_idle
        });
    }
}

/// Returns the index of a priority's queue.
const fn class_index(priority: Priority) -> usize {
    match priority {
        Priority::Bulk => 0,
        Priority::Normal => 1,
        Priority::Interactive => 2,
    }
}
