/**
 * The settings name other seeds; then machines of the core lose their disks,
 * one at a time, each long after the one before is back.
 */
import {rmSync} from 'node:fs';
import {dirname, join} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  call,
  configuration,
  Deployment,
  order,
  runCase,
  sleep,
} from '../lib/deployment.mjs';

const ZONES = {
  'kozep-a': 'kozep',
  'nyugat-a': 'nyugat',
  'kelet-a': 'kelet',
};
const ZONE_NAMES = Object.keys(ZONES);
const DOWN_MS = 1_200;
/** `catchUpS` is 4: after it a machine that is back counts as lost no more. */
const BETWEEN_MS = 12_000;
/** `recoveryS` is 12: a read is answered long before this. */
const READ_LIMIT_MS = 40_000;
/** 1: all; wipe: only the lost disks; seeds: only the new seeds; 0: neither. */
const trouble = process.env.TROUBLE ?? '1';

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (record, after) => {
    const system = await Deployment.create(record, {zones: ZONES});
    after(() => system.stop());
    const core = [1, 2, 3, 4, 5, 6].map(n =>
      system.add('control', `control-${n}`, n, ZONE_NAMES[n % 3]),
    );
    const addressOf = each => system.controlAddress(each.name);
    system.seeds = core.slice(0, 3).map(addressOf);
    core.forEach(each => system.start(each.name));
    const send = version =>
      order(
        record,
        core.map(addressOf),
        '/Configuration.Replace',
        configuration(version, [route()], [service()]),
        20_000,
      );
    if (!(await send(3))) throw new Error('the configuration was not accepted');
    await sleep(6_000);

    if (trouble === '1' || trouble === 'seeds') {
      system.seeds = core.slice(3).map(addressOf);
      core.forEach(each => system.writeSettings(each));
      record.note(`settings: the seeds are now ${system.seeds.join(', ')}`);
    }
    await sleep(8_000);

    for (const [step, {name}] of core.slice(3).entries()) {
      const isLast = step === 2;
      if (isLast) {
        if (!(await send(9))) throw new Error('version 9 was not acknowledged');
        record.note('version 9 is acknowledged');
      }
      if (trouble === '1' || trouble === 'wipe')
        await wipe(system, record, name);
      if (!isLast) await sleep(BETWEEN_MS);
    }

    const startedAtMs = performance.now();
    await sleep(2_000);
    while (performance.now() - startedAtMs < READ_LIMIT_MS) {
      for (const each of core) {
        const answer = await call(
          addressOf(each),
          'GET',
          '/Configuration.Read',
        );
        record.note(`read at ${each.name}: ${answer.status}`);
        if (answer.status === 200) {
          const {version} = JSON.parse(answer.text);
          record.note(`read back: version ${version}`);
          return version !== 9;
        }
      }
      await sleep(1_000);
    }
    record.note('read back: no configuration came, all six machines run');
    return true;
  },
);

/** The machine comes back at its old address with an empty disk. */
async function wipe(system, record, name) {
  await system.end(name, 'SIGKILL');
  const folder = join(system.folder, `${name}-data`);
  rmSync(folder, {recursive: true, force: true});
  record.note(`${name}: its disk is lost`);
  system.machine(name).mayFound = false;
  await sleep(DOWN_MS);
  system.start(name);
}

function route() {
  return {
    name: 'r-1',
    host: 'ficu95.example',
    pathPrefix: '/lohu930/',
    kind: 'safe',
    timeoutMs: 4_000,
    targetLatencyMs: 443,
    priority: 2,
    service: 'huvo11a',
    attempts: 2,
    sticky: false,
    resumable: false,
    homeRegions: [],
  };
}

function service() {
  return {
    name: 'huvo11a',
    healthCheckPath: '/health',
    connectionLimit: 100,
    protocol: 'h1',
    tls: false,
    coldStartS: 0,
    coldPerS: 0,
  };
}
