/**
 * An item of another writer in the platform's list, whose address holds bytes
 * that can't be read, beside sound workers and clients on kept channels.
 */
import http from 'node:http';
import {dirname} from 'node:path';
import {fileURLToPath} from 'node:url';
import {
  configuration,
  Deployment,
  hasTrouble,
  List,
  newAttemptId,
  order,
  runCase,
  sleep,
  Worker,
} from '../lib/deployment.mjs';

const HOST = 'ficu95.example';
const SERVICE = 'huvo11a';
const ZONE = 'kozep-a';
const ZONES = {[ZONE]: 'kozep'};
const WORK_MS = 1_500;
const CLIENTS = 40;
/** Machines are in touch, and traffic runs, before the item appears. */
const CALM_MS = 12_000;
const TROUBLE_MS = 20_000;
/** The rule: a machine in touch does it more than three times. */
const ALLOWED_LOSSES = 3;

await runCase(
  dirname(fileURLToPath(import.meta.url)),
  async (record, after) => {
    const system = await Deployment.create(record, {zones: ZONES});
    after(() => system.stop());
    const controls = [1, 2, 3].map(n =>
      system.add('control', `control-${n}`, n, ZONE),
    );
    const entries = [11, 12].map(n =>
      system.add('entry', `entry-${n}`, n, ZONE),
    );
    const controlAddresses = controls.map(each =>
      system.controlAddress(each.name),
    );
    system.seeds = controlAddresses;
    const workers = [101, 102, 103].map(
      n =>
        new Worker(record, {
          id: `i-${n}`,
          service: SERVICE,
          zone: ZONE,
          address: `${system.host(n)}:${system.ports.worker}`,
          slots: 16,
          answer: (_request, response) =>
            setTimeout(() => response.writeHead(200).end('booked'), WORK_MS),
        }),
    );
    const list = new List(system.listAddress, workers);
    after(() => [...workers, list].forEach(each => each.stop()));
    await Promise.all([...workers, list].map(each => each.started));
    [...controls, ...entries].forEach(each => system.start(each.name));

    const route = {
      name: 'r-1',
      host: HOST,
      pathPrefix: '/lohu930/',
      kind: 'unsafe',
      timeoutMs: 4_000,
      targetLatencyMs: 3_000,
      priority: 2,
      service: SERVICE,
      attempts: 1,
      sticky: false,
      resumable: false,
      homeRegions: [],
    };
    const service = {
      name: SERVICE,
      healthCheckPath: '/health',
      connectionLimit: 100,
      protocol: 'h1',
      tls: false,
      coldStartS: 0,
      coldPerS: 0,
    };
    const text = configuration(7, [route], [service]);
    const isAcknowledged = await order(
      record,
      controlAddresses,
      '/Configuration.Replace',
      text,
      20_000,
    );
    if (!isAcknowledged) throw new Error('the configuration was not accepted');
    await system.untilReady(
      entries.map(each => each.name),
      15_000,
    );

    const traffic = {
      isOver: false,
      answered: 0,
      refused: 0,
      failed: [],
      lost: [],
    };
    const clients = Array.from({length: CLIENTS}, (_, n) =>
      runClient(
        record,
        workers,
        system,
        entries[n % entries.length].name,
        traffic,
      ),
    );
    await sleep(CALM_MS);
    if (hasTrouble) {
      list.foreign.set(ZONE, [foreignItem(system)]);
      record.note('list: an item of another writer appears');
    }
    await sleep(TROUBLE_MS);
    traffic.isOver = true;
    await Promise.all(clients);

    record.note(`answered with 200: ${traffic.answered}`);
    record.note(`refused with 503: ${traffic.refused}`);
    record.note(`other answers: ${traffic.failed.length}`);
    record.note(`processes that ended by themselves: ${system.ownEnds.length}`);
    record.note(
      `passed on from a kept channel to a sound worker and closed without an answer: ${traffic.lost.length}`,
    );
    if (traffic.answered < 100) throw new Error('too little was answered');
    return traffic.lost.length > ALLOWED_LOSSES;
  },
);

/** Raw bytes: the address begins with bytes that are not UTF-8. */
function foreignItem(system) {
  const address = Buffer.concat([
    Buffer.from([0xb1, 0xff, 0xc0]),
    Buffer.from(`${system.host(150)}:${system.ports.worker}`),
  ]);
  return Buffer.concat([
    Buffer.from(
      `{"id":"i-9","service":"${SERVICE}","zone":"${ZONE}","version":"v1","slots":16,"state":"ready","coldRemainingMs":0,"born":${Date.now()},"address":"`,
    ),
    address,
    Buffer.from('"}'),
  ]);
}

/** Sends one request after another on one kept channel, each with a new id. */
async function runClient(record, workers, system, entry, traffic) {
  let agent = new http.Agent({keepAlive: true, maxSockets: 1});
  while (!traffic.isOver) {
    const attempt = newAttemptId();
    record.note(`client: ${attempt} sent to ${entry}`);
    const result = await send(system.frontAddress(entry), attempt, agent);
    const {status, isKept, cause} = result;
    const hasRun = workers.some(each => each.runs.includes(attempt));
    if (status > 0) record.note(`client: ${attempt} answered ${status}`);
    if (status === 200) traffic.answered += 1;
    else if (status === 503) traffic.refused += 1;
    else if (status > 0) traffic.failed.push(attempt);
    if (status === 0) {
      agent.destroy();
      agent = new http.Agent({keepAlive: true, maxSockets: 1});
      record.note(
        `client: ${attempt} at ${entry}: no answer (${cause}), kept channel: ${isKept}, a sound worker got it: ${hasRun}`,
      );
      if (hasRun && isKept) traffic.lost.push(attempt);
    }
    await sleep(status === 200 ? 10 + 200 * Math.random() : 300);
  }
  agent.destroy();
}

function send(address, attempt, agent) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const request = http.request(
      {
        host,
        port,
        agent,
        method: 'POST',
        path: '/lohu930/2f',
        headers: {
          Host: HOST,
          'Attempt-Id': attempt,
          'Deadline-Milliseconds': '4000',
        },
      },
      response => {
        response.resume();
        response.on('end', () =>
          resolve({status: response.statusCode, isKept: request.reusedSocket}),
        );
        response.on('error', error =>
          resolve({status: 0, isKept: request.reusedSocket, cause: error.code}),
        );
      },
    );
    request.on('error', error =>
      resolve({status: 0, isKept: request.reusedSocket, cause: error.code}),
    );
    request.end('{"slot":"16:30"}');
  });
}
