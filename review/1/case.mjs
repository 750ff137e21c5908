/**
 * A machine of the core is replaced as planned; later another one loses its
 * disk right after it has acknowledged a configuration.
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
/** Time that the new machine runs beside the old one. */
const BESIDE_MS = 6_000;
/** Far above `catchUpS`, after which the removed machine no longer counts. */
const CALM_MS = 20_000;
const DOWN_MS = 1_200;
/** `recoveryS` is 12, `contactMs` 5,000: it holds if a read is answered then. */
const READ_LIMIT_MS = 45_000;
/** 1: both; replace or wipe: only one of them; 0: neither. */
const trouble = process.env.TROUBLE ?? '1';

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (record, after) => {
    const system = await Deployment.create(record, {zones: ZONES});
    after(() => system.stop());
    const first = [1, 2, 3].map(n =>
      system.add('control', `control-${n}`, n, ZONE_NAMES[n - 1]),
    );
    const addressOf = each => system.controlAddress(each.name);
    system.seeds = first.map(addressOf);
    first.forEach(each => system.start(each.name));
    let core = first;
    const send = version =>
      order(
        record,
        core.map(addressOf),
        '/Configuration.Replace',
        configuration(version, [route()], [service()]),
        20_000,
      );
    if (!(await send(3))) throw new Error('the configuration was not accepted');
    await sleep(5_000);

    if (trouble === '1' || trouble === 'replace') {
      const fresh = system.add('control', 'control-4', 4, ZONE_NAMES[0]);
      fresh.mayFound = false;
      system.start('control-4');
      await sleep(BESIDE_MS);
      await system.end('control-1', 'SIGTERM');
      core = [...first.slice(1), fresh];
      system.seeds = core.map(addressOf);
    }
    await sleep(CALM_MS);

    if (!(await send(9))) throw new Error('version 9 was not acknowledged');
    record.note('version 9 is acknowledged');
    if (trouble === '1' || trouble === 'wipe') {
      await system.end('control-2', 'SIGKILL');
      const folder = join(system.folder, 'control-2-data');
      rmSync(folder, {recursive: true, force: true});
      record.note('control-2: its disk is lost');
      system.machine('control-2').mayFound = false;
      await sleep(DOWN_MS);
      system.start('control-2');
    }

    const startedAtMs = performance.now();
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
    record.note('read back: no configuration came, all three machines run');
    return true;
  },
);

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
