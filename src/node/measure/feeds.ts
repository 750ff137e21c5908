/**
 * The information that reaches entries late: load reports of the engines,
 * in-flight counts of the neighbours, summaries of other domains, and the
 * platform's list.
 */
import type {EntryState} from './entry_state.js';
import type {FakeEngine} from './fake_engine.js';
import type {World} from './world.js';

const POLL_INTERVAL_MS = 500;
/** Time from a report to the entries of the domain, by poll and gossip. */
const REPORT_LAG_MS = 300;
const REPORT_LOSS_SHARE = 0.05;
const GOSSIP_INTERVAL_MS = 500;
const GOSSIP_LAG_MS = 50;
const SUMMARY_INTERVAL_MS = 1_000;
/** Spread of a summary inside the domain that receives it. */
const SUMMARY_LAG_MS = 300;

function pollEngine(
  world: World,
  engine: FakeEngine,
  entries: readonly EntryState[],
): void {
  const takenAtMs = world.events.nowMs;
  const own = entries.map(entry => entry.inFlight(engine.upstreamId));
  const {isAlive, runningCount, waitingCount, upstreamId} = engine;
  if (world.random.next() < REPORT_LOSS_SHARE) return;
  world.events.after(REPORT_LAG_MS, () =>
    entries.forEach((entry, index) => {
      if (!isAlive) {
        entry.health.recordUnreachable(upstreamId, world.events.nowMs);
        return;
      }
      entry.health.recordReachable(upstreamId, takenAtMs);
      entry.onReport(upstreamId, {
        takenAtMs,
        runningCount,
        waitingCount,
        ownInFlightAtReport: own[index] ?? 0,
      });
    }),
  );
}

function gossip(
  world: World,
  entries: readonly EntryState[],
  onNews: (entry: EntryState) => void,
): void {
  entries.forEach(from => {
    const counts = from.inFlightCounts();
    const takenAtMs = world.events.nowMs;
    entries
      .filter(to => to !== from)
      .forEach(to =>
        world.events.after(GOSSIP_LAG_MS, () => {
          to.onPeer(from.instance.instanceId, counts, takenAtMs);
          onNews(to);
        }),
      );
  });
}

function summarise(world: World, entries: readonly EntryState[]): void {
  const sender = new Map(entries.map(each => [each.instance.domainId, each]));
  [...sender.values()].forEach(from => {
    const takenAtMs = world.events.nowMs;
    const {domainId, regionId} = from.instance;
    const pools = from.summaries(takenAtMs);
    entries
      .filter(to => to.instance.domainId !== domainId)
      .forEach(to => {
        const delayMs = world.delayMs(regionId, to.instance.regionId);
        world.events.after(delayMs + SUMMARY_LAG_MS, () => {
          const view = {
            domainId,
            regionId,
            receivedAtMs: world.events.nowMs,
            isReachable: true,
            weight: 1,
            pools,
            sentSinceSummary: new Map(),
          };
          to.onSummary(view, takenAtMs, delayMs);
        });
      });
  });
}

/** Starts all feeds. `onNews` runs when an entry may be able to start work. */
export function startFeeds(
  world: World,
  entries: readonly EntryState[],
  onNews: (entry: EntryState) => void,
): void {
  const {events} = world;
  const domainIds = [...new Set(entries.map(each => each.instance.domainId))];
  domainIds.forEach((domainId, index) => {
    const members = entries.filter(each => each.instance.domainId === domainId);
    const engines = [...world.engines.values()].filter(
      each => each.config.domainId === domainId,
    );
    engines.forEach((engine, at) =>
      events.after(index * 37 + at * 61, () =>
        events.every(POLL_INTERVAL_MS, () =>
          pollEngine(world, engine, members),
        ),
      ),
    );
    events.after(index * 113, () =>
      events.every(GOSSIP_INTERVAL_MS, () => gossip(world, members, onNews)),
    );
  });
  events.every(SUMMARY_INTERVAL_MS, () => summarise(world, entries));
  world.onPlatformList((upstreamId, isListed) => {
    if (isListed) return;
    entries.forEach(entry =>
      entry.health.recordUnreachable(upstreamId, events.nowMs),
    );
  });
}
