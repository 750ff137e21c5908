/**
 * Machines of the system are stopped in turn (SIGTERM) while they answer
 * requests. The grace of the settings is a fraction of a second longer than 7 s.
 */
import {performance} from 'node:perf_hooks';
import {setTimeout as sleep} from 'node:timers/promises';
import {
  answerPlain,
  attemptId,
  call,
  configurationOf,
  hasTrouble,
  runCase,
} from '../lib-2/fleet.mjs';

const HOST = 'ficu95.example';
const PATH = '/pule252/2f';
const GRACE_S = 7.5;
const LOSS_SLACK_MS = 200;
const WORK_MS = 600;
const REQUESTS = 20;

const ROUTES = [
  {
    name: 'r-unsafe',
    host: HOST,
    pathPrefix: '/pule252/',
    kind: 'unsafe',
    timeoutMs: 4000,
    targetLatencyMs: 1000,
    priority: 2,
    service: 'agenda',
    attempts: 1,
    sticky: false,
    resumable: false,
    targetGapMs: 0,
    homeRegions: [],
  },
];
const SERVICES = [
  {
    name: 'agenda',
    healthCheckPath: '/health',
    connectionLimit: 110,
    protocol: 'h1',
    tls: false,
    coldStartS: 0,
    coldPerS: 0,
  },
];

async function answerLater(...run) {
  await sleep(WORK_MS);
  answerPlain(...run);
}

await runCase(import.meta.url, async (fleet, record) => {
  fleet.bounds = {graceS: GRACE_S};
  await fleet.start({
    entries: ['centro-a', 'centro-a', 'cuyo-a'],
    workers: [
      {service: 'agenda', zone: 'centro-a', slots: 64, answer: answerLater},
    ],
  });
  await fleet.configure(configurationOf(1, ROUTES, SERVICES));
  await fleet.untilReady();
  const [worker] = fleet.workers;
  const sendOne = async entry => {
    const id = attemptId();
    const sentAt = performance.now();
    const {status, cause} = await call({
      address: fleet.frontOf(entry),
      method: 'POST',
      path: PATH,
      headers: {
        host: HOST,
        'attempt-id': id,
        'deadline-milliseconds': '4000',
      },
      body: 'hello',
      timeoutMs: 4_000,
    });
    const tookMs = Math.round(performance.now() - sentAt);
    const hasRun = worker.runs.some(run => run.attemptId === id);
    record.line(
      `${id} to ${entry.name}: ${hasRun ? 'run' : 'not run'}; ` +
        `${status === 0 ? `no answer (${cause})` : status} after ${tookMs} ms`,
    );
    return {id, status, hasRun, tookMs};
  };
  const all = [];
  for (const entry of fleet.entries.slice(0, 2)) {
    const sent = Array.from({length: REQUESTS}, () => sendOne(entry));
    await sleep(WORK_MS / 2);
    if (hasTrouble) entry.signal('SIGTERM');
    all.push(...(await Promise.all(sent)));
    await sleep(1_000);
    if (hasTrouble) {
      for (let turn = 0; turn < 90 && entry.child !== undefined; turn++) {
        await sleep(100);
      }
      entry.start();
      await sleep(4_000);
    }
  }
  if (!hasTrouble && all.some(each => each.status !== 200)) {
    throw new Error('not served');
  }
  return all
    .filter(({status}) => status === 0)
    .filter(({hasRun, tookMs}) => hasRun || tookMs > LOSS_SLACK_MS)
    .map(({id}) => `${id} was passed on to the worker, and its channel ended`);
});
