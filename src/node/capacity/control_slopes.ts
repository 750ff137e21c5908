/** What control costs: processes at rest, and changes of the configuration. */
import {MeasuredProcess, type Spent, sleep, spentDuring} from './processes.js';
import {type RunningDeployment, withDeployment} from './running_deployment.js';
import {inTurn, lineThrough, mean, round} from './slope.js';

const IDLE_MS = 6_000;
const SETTLE_MS = 2_500;
const CHANGES = 10;
const WARM_UP_CHANGES = 3;

/** Memory of processes before they carry any load. */
export async function measureBaselines() {
  const bare = new MeasuredProcess('bare', '');
  await sleep(SETTLE_MS);
  const runtime = await bare.usage(true);
  await bare.stop();
  return withDeployment({workspaces: 1}, async deployment => {
    await sleep(SETTLE_MS);
    const entry = await deployment.entries[0]?.usage(true);
    const control = await deployment.controls[0]?.usage(true);
    return {runtime, entry, control};
  });
}

function perSecond(spent: readonly Spent[], durationMs: number) {
  return {
    cpuShare: mean(spent.map(each => each.cpuMicros)) / (1_000 * durationMs),
    bytesPerSecond:
      (1_000 * mean(spent.map(each => each.ioBytes))) / durationMs,
  };
}

async function idleEntries(deployment: RunningDeployment) {
  await sleep(SETTLE_MS);
  const spent = await spentDuring(deployment.entries, () => sleep(IDLE_MS));
  return perSecond(spent, IDLE_MS);
}

/** Lines over a size, one for each figure of an entry at rest. */
async function entryLines(
  sizes: readonly number[],
  options: (size: number) => Parameters<typeof withDeployment>[0],
) {
  const figures = await inTurn(sizes, async size => {
    const figure = await withDeployment(options(size), idleEntries);
    return {size, ...figure};
  });
  return {
    cpuShare: lineThrough(
      figures.map(({size, cpuShare}) => ({size, value: cpuShare})),
    ),
    bytesPerSecond: lineThrough(
      figures.map(({size, bytesPerSecond}) => ({size, value: bytesPerSecond})),
    ),
  };
}

/** An entry at rest, by engines that it polls, one poll a second each. */
export function measurePolls() {
  return entryLines([1, 20, 43], engines => ({engines}));
}

/** An entry at rest, by entries of its domain (gossip and record group). */
export function measureDomainMembers() {
  return entryLines([1, 3, 6], entries => ({entries}));
}

/** A configuration group at rest: its leader and its followers. */
export async function measureControlGroups() {
  const groups = await inTurn([3, 5, 7], async controls => {
    const spent = await withDeployment({controls}, async deployment => {
      await sleep(SETTLE_MS);
      return spentDuring(deployment.controls, () => sleep(IDLE_MS));
    });
    const byCost = spent.toSorted((a, b) => b.ioBytes - a.ioBytes);
    return {
      size: controls,
      leader: perSecond(byCost.slice(0, 1), IDLE_MS),
      follower: perSecond(byCost.slice(1), IDLE_MS),
    };
  });
  const line = (
    role: 'leader' | 'follower',
    key: 'cpuShare' | 'bytesPerSecond',
  ) =>
    lineThrough(
      groups.map(each => ({size: each.size, value: each[role][key]})),
    );
  return {
    leaderCpuShare: line('leader', 'cpuShare'),
    leaderBytesPerSecond: line('leader', 'bytesPerSecond'),
    followerCpuShare: line('follower', 'cpuShare'),
    followerBytesPerSecond: line('follower', 'bytesPerSecond'),
  };
}

async function changeCosts(deployment: RunningDeployment) {
  const inForceMs: number[] = [];
  const change = async (): Promise<void> => {
    const startMs = performance.now();
    await deployment.change();
    await deployment.inForce();
    inForceMs.push(performance.now() - startMs);
  };
  const repeat = async (count: number): Promise<void> => {
    for (let turn = 0; turn < count; turn++) await change();
  };
  await repeat(WARM_UP_CHANGES);
  inForceMs.length = 0;
  const processes = [...deployment.controls, ...deployment.entries];
  const startMs = performance.now();
  const spent = await spentDuring(processes, () => repeat(CHANGES));
  const changingMs = performance.now() - startMs;
  const idle = await spentDuring(processes, () => sleep(IDLE_MS));
  // What the processes spend at rest in the same time is not the changes'.
  const net = spent.map((each, index) => {
    const rest = idle[index] as Spent;
    const share = changingMs / IDLE_MS;
    return {
      cpuMs: (each.cpuMicros - rest.cpuMicros * share) / CHANGES / 1_000,
      ioBytes: (each.ioBytes - rest.ioBytes * share) / CHANGES,
    };
  });
  const controls = net
    .slice(0, deployment.controls.length)
    .toSorted((a, b) => b.cpuMs - a.cpuMs);
  const entries = net.slice(deployment.controls.length);
  const memory = await Promise.all(processes.map(each => each.usage(true)));
  return {
    leaderCpuMs: controls[0]?.cpuMs ?? 0,
    followerCpuMs: mean(controls.slice(1).map(each => each.cpuMs)),
    entryCpuMs: mean(entries.map(each => each.cpuMs)),
    leaderIoBytes: controls[0]?.ioBytes ?? 0,
    entryIoBytes: mean(entries.map(each => each.ioBytes)),
    inForceMs: mean(inForceMs),
    inForceMaxMs: Math.max(...inForceMs),
    controlRssBytes: Math.max(
      ...memory
        .slice(0, deployment.controls.length)
        .map(({rssBytes}) => rssBytes),
    ),
    controlHeapBytes: Math.max(
      ...memory
        .slice(0, deployment.controls.length)
        .map(({heapBytes}) => heapBytes),
    ),
  };
}

/**
 * Changes with five members of the log and three entries, over the workspaces
 * of the configuration.
 */
export async function measureChanges() {
  const figures = await inTurn([42, 210, 420], async workspaces => {
    const costs = await withDeployment(
      {workspaces, controls: 5, entries: 3},
      changeCosts,
    );
    return {workspaces, costs};
  });
  type Key = keyof (typeof figures)[number]['costs'];
  const keys = Object.keys(figures[0]?.costs ?? {}) as Key[];
  return Object.fromEntries(
    keys.map(key => [
      key,
      lineThrough(
        figures.map(({workspaces, costs}) => ({
          size: workspaces,
          value: round(costs[key]),
        })),
      ),
    ]),
  );
}
