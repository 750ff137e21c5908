// Hosts a whole deployment in this process on loopback, accepts a
// configuration, sends requests and prints what happened. Exits 0 if every
// step had the expected result.
import {mkdtempSync, readdirSync, rmSync} from 'node:fs';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {randomUUID} from 'node:crypto';
import process from 'node:process';
import {readAnswers} from '../dist/node/config/answers.js';
import {
  loadControlSettings,
  loadEntrySettings,
  loadOperatorSettings,
} from '../dist/node/config/settings.js';
import {ControlMember} from '../dist/node/control/control_member.js';
import {Entry} from '../dist/node/entry/entry.js';
import {HttpForwarder} from '../dist/node/entry/forwarding.js';
import {createLogger} from '../dist/node/logging/logger.js';
import {HttpRpcClient} from '../dist/node/rpc/http_client.js';
import {Standin} from '../dist/node/standin/standin.js';
import {loadStandinSettings} from '../dist/node/standin/standin_settings.js';
import {GatewayError} from '../dist/node/types/errors.js';

const READY_TIMEOUT_MS = 30_000;
const CUT_REGION = 'patagonia';
const FOLDER = 'playground/trazo';
const DATA = mkdtempSync(join(tmpdir(), 'cyclamenfall-'));

/** Addresses that a region cannot reach, and the other way round. */
const cut = {regionId: undefined, addresses: new Set()};
const isCut = (regionId, address) =>
  cut.regionId !== undefined &&
  (cut.regionId === regionId) !== cut.addresses.has(address);
const cutError = address =>
  new GatewayError({
    code: 'unreachable',
    message: 'the link is cut',
    step: 'demo',
    peer: address,
    work: 'not_run',
  });

class CuttableRpcClient extends HttpRpcClient {
  constructor(options, regionId) {
    super(options);
    this.regionId = regionId;
  }

  async send(address, ...rest) {
    if (isCut(this.regionId, address)) throw cutError(address);
    return super.send(address, ...rest);
  }
}

class CuttableForwarder extends HttpForwarder {
  constructor(options, regionId) {
    super(options);
    this.regionId = regionId;
  }

  async forward(address, ...rest) {
    if (isCut(this.regionId, address)) throw cutError(address);
    return super.forward(address, ...rest);
  }
}

function unwrap(result) {
  if (result.isOk()) return result.value;
  throw new Error(JSON.stringify(result.error));
}

function settingsFiles(prefix) {
  return readdirSync(`${FOLDER}/settings`)
    .filter(name => name.startsWith(prefix))
    .map(name => `${FOLDER}/settings/${name}`);
}

function loggerOf(instanceId) {
  const level = process.env.DEMO_LOG ?? 'silent';
  return createLogger({name: 'demo', instanceId, level});
}

function createControl(file) {
  const settings = unwrap(loadControlSettings(file));
  const dataFolder = join(DATA, `control-${settings.instanceId}`);
  return new ControlMember({
    settings: {...settings, dataFolder},
    logger: loggerOf(settings.instanceId),
  });
}

function createEntry(file) {
  const loaded = unwrap(loadEntrySettings(file));
  const {instanceId, regionId, clusterSecret} = loaded;
  const settings = {...loaded, stopGraceMs: 200};
  if (loaded.dataFolder !== undefined) {
    settings.dataFolder = join(DATA, `entry-${instanceId}`);
  }
  const identity = {self: instanceId, clusterSecret};
  return new Entry({
    settings,
    logger: loggerOf(instanceId),
    adapters: {
      client: new CuttableRpcClient(identity, regionId),
      forwarder: new CuttableForwarder(identity, regionId),
    },
  });
}

async function until(what, condition) {
  const deadline = Date.now() + READY_TIMEOUT_MS;
  while (!(await condition())) {
    if (Date.now() > deadline) throw new Error(`timed out: ${what}`);
    await new Promise(resolve => setTimeout(resolve, 50));
  }
}

const rows = [];
function report(step, expected, actual, detail) {
  rows.push({step, ok: expected === actual, actual, detail});
}

function newKey() {
  return `${Date.now()}-${randomUUID()}`;
}

async function post(address, path, key, body, headers = {}) {
  const startedAtMs = performance.now();
  const response = await fetch(`http://${address}${path}`, {
    method: 'POST',
    headers: {
      authorization: `Bearer ${key}`,
      'content-type': 'application/json',
      ...headers,
    },
    body: JSON.stringify(body),
  });
  const text = await response.text();
  return {
    status: response.status,
    work: response.headers.get('x-cyclamenfall-work'),
    text,
    tookMs: Math.round(performance.now() - startedAtMs),
  };
}

function chat(model, text, extra = {}) {
  return {model, messages: [{role: 'user', content: text}], ...extra};
}

async function runRequests(entries, standin) {
  const home = entries.find(entry => entry.regionId === 'centro');
  const remote = entries.find(entry => entry.regionId === 'cuyo');
  const cutOff = entries.find(entry => entry.regionId === CUT_REGION);
  const key = 'trazo-plaza-retratos-key';

  const caption = await post(
    home.address,
    '/v1/chat/completions',
    key,
    chat('caption', 'caption for a smiling sailor', {stream: true}),
  );
  const pieces = caption.text.split('\n\n').filter(Boolean).length;
  const isWhole = caption.text.trimEnd().endsWith('data: [DONE]');
  report(
    'streamed caption',
    '200 true',
    `${caption.status} ${isWhole}`,
    `${pieces} events in ${caption.tookMs} ms`,
  );

  const answer = await post(
    home.address,
    '/v1/chat/completions',
    key,
    chat('chat', 'how long is the queue?', {max_tokens: 8}),
  );
  report('chat', 200, answer.status, `${answer.tookMs} ms`);

  const bookingKey = newKey();
  const booking = {slot: '16:30', deposit: 2_000};
  const headers = {'idempotency-key': bookingKey};
  const path = '/services/booking/bookings';
  const first = await post(home.address, path, key, booking, headers);
  report(
    'booking',
    '200 ran',
    `${first.status} ${first.work}`,
    `${first.tookMs} ms`,
  );

  const again = await post(remote.address, path, key, booking, headers);
  const ran = countExecutions(standin, bookingKey);
  report(
    'the same booking resent to another region',
    `200 true 1`,
    `${again.status} ${again.text === first.text} ${ran}`,
    `executions: ${ran}`,
  );

  const other = await post(home.address, path, key, {slot: '17:00'}, headers);
  report(
    'the same key with another body',
    409,
    other.status,
    JSON.parse(other.text).error.code,
  );

  const wrong = await post(home.address, path, 'wrong-key', booking, headers);
  report(
    'a wrong caller key',
    401,
    wrong.status,
    JSON.parse(wrong.text).error.code,
  );

  await runCutOff(cutOff, home, path, standin);
}

async function runCutOff(cutOff, home, path, standin) {
  cut.regionId = CUT_REGION;
  const localKey = 'trazo-lago-caricaturas-key';
  const keptKey = newKey();
  const kept = await post(
    cutOff.address,
    path,
    localKey,
    {slot: '18:00'},
    {
      'idempotency-key': keptKey,
    },
  );
  report(
    `${CUT_REGION} cut off: a booking at home`,
    '200 ran',
    `${kept.status} ${kept.work}`,
    `${kept.tookMs} ms`,
  );

  const talk = await post(
    cutOff.address,
    '/v1/chat/completions',
    localKey,
    chat('chat', 'hello'),
  );
  report(
    `${CUT_REGION} cut off: a chat at home`,
    200,
    talk.status,
    `${talk.tookMs} ms`,
  );

  const blindKey = newKey();
  const blind = await post(
    home.address,
    path,
    localKey,
    {slot: '18:30'},
    {
      'idempotency-key': blindKey,
    },
  );
  report(
    'a booking whose home is cut off',
    '504 unknown 0',
    `${blind.status} ${blind.work} ${countExecutions(standin, blindKey)}`,
    JSON.parse(blind.text).error.code,
  );

  cut.regionId = undefined;
  const healed = await post(
    home.address,
    path,
    localKey,
    {slot: '18:30'},
    {
      'idempotency-key': blindKey,
    },
  );
  report(
    'the same booking after the cut',
    '200 ran 1',
    `${healed.status} ${healed.work} ${countExecutions(standin, blindKey)}`,
    `${healed.tookMs} ms`,
  );
}

function countExecutions(standin, key) {
  return [...standin.services.values()]
    .flatMap(service => service.executions)
    .filter(execution => execution.key === key).length;
}

async function acceptConfiguration(operator) {
  const client = new HttpRpcClient({
    self: 'operator',
    clusterSecret: operator.clusterSecret,
  });
  const answers = unwrap(readAnswers(`${FOLDER}/answers.yaml`));
  const result = await client.call(
    operator.controlAddresses[0],
    'config.accept',
    {
      operator: operator.operator,
      operatorKey: operator.operatorKey,
      operationId: randomUUID(),
      baseVersion: 0,
      answers,
      forwarded: false,
    },
    10_000,
  );
  await client.close();
  return unwrap(result);
}

async function main() {
  const startedAtMs = performance.now();
  const standin = new Standin(
    unwrap(loadStandinSettings(`${FOLDER}/settings/standin.yaml`)),
  );
  const controls = settingsFiles('control-').map(createControl);
  const files = settingsFiles('entry-');
  const entries = files.map(createEntry);
  const known = files.map(file => {
    const {listen, regionId} = unwrap(loadEntrySettings(file));
    return {
      regionId,
      address: listen.callerAddress,
      inner: listen.innerAddress,
    };
  });
  known
    .filter(entry => entry.regionId === CUT_REGION)
    .forEach(entry => cut.addresses.add(entry.inner));
  await standin.start();
  await Promise.all(controls.map(control => control.start()));
  await Promise.all(entries.map(entry => entry.start()));
  const operator = unwrap(
    loadOperatorSettings(`${FOLDER}/settings/operator.yaml`),
  );
  let accepted;
  await until('a control leader', async () => {
    accepted = await acceptConfiguration(operator).catch(() => undefined);
    return accepted !== undefined;
  });
  report(
    'configuration accepted',
    'accepted',
    accepted.status,
    `version ${accepted.version}`,
  );
  await until('all entries serve', () =>
    entries.every(entry => entry.isServing()),
  );
  report(
    'in force on all entries',
    8,
    entries.filter(entry => entry.version() === 1).length,
    `${Math.round(performance.now() - startedAtMs)} ms after start`,
  );
  // Summaries between domains come each second.
  await new Promise(resolve => setTimeout(resolve, 2_500));
  await runRequests(known, standin);
  await Promise.all(entries.map(entry => entry.stop()));
  await Promise.all(controls.map(control => control.stop()));
  await standin.stop();
  rmSync(DATA, {recursive: true, force: true});
  const width = Math.max(...rows.map(row => row.step.length));
  rows.forEach(row =>
    console.log(
      `${row.ok ? 'ok  ' : 'FAIL'}  ${row.step.padEnd(width)}  ${String(row.actual).padEnd(14)}  ${row.detail}`,
    ),
  );
  process.exit(rows.every(row => row.ok) ? 0 : 1);
}

main().catch(thrown => {
  console.error(thrown);
  process.exit(1);
});
