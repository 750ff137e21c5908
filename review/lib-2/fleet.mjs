/**
 * A small deployment for the cases of this review: the project's programs as
 * processes on loopback, with stand-ins of the platform, the workers and the
 * clients in the process of the case.
 */
import {spawn} from 'node:child_process';
import {Buffer} from 'node:buffer';
import {createHash, randomBytes} from 'node:crypto';
import {
  appendFileSync,
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {Agent, createServer, request as httpRequest} from 'node:http';
import {createServer as createNetServer} from 'node:net';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {performance} from 'node:perf_hooks';
import process from 'node:process';
import {clearTimeout, setTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath, URL} from 'node:url';

const ROOT = fileURLToPath(new URL('../../', import.meta.url));
const PORT = {
  front: 8144,
  ready: 8140,
  control: 8146,
  directory: 8148,
  inner: 7660,
  list: 8142,
  worker: 8080,
};
/** As the settings of an entry say. */
const DESCRIPTORS = 4_100;
const TOTAL_LIMIT_MS = 115_000;

/** Whether the disruption of the case takes place. */
export const hasTrouble = process.env.TROUBLE !== '0';
export const EXIT = {held: 0, broken: 1, notRun: 2};

/** Writes what was sent, answered and run beside the script. */
export class Record {
  constructor(folder) {
    this.file = join(folder, 'record.txt');
    this.startedAt = performance.now();
    writeFileSync(this.file, '');
  }

  line(text) {
    const atS = ((performance.now() - this.startedAt) / 1000).toFixed(3);
    appendFileSync(this.file, `${atS.padStart(8)}  ${text}\n`);
  }
}

/** A field of a role in the deploy file. */
function roleField(role, name) {
  const text = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = text.split(`[roles.${role}]`)[1] ?? '';
  const line = new RegExp(`^${name} = "([^"]+)"$`, 'm').exec(section);
  if (line === null) throw new Error(`no ${name} of ${role}`);
  return line[1];
}

function canListen(host, port) {
  return new Promise(resolve => {
    const server = createNetServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

/** A part of the loopback range on which the ports are free. */
async function freeNetwork() {
  for (let attempt = 0; attempt < 50; attempt++) {
    const [second, third] = randomBytes(2);
    const network = `127.${20 + (second % 200)}.${third % 250}`;
    const checks = Object.values(PORT).map(port =>
      canListen(`${network}.1`, port),
    );
    if ((await Promise.all(checks)).every(Boolean)) return network;
  }
  throw new Error('no free addresses');
}

/** One program of the deployment. */
class Member {
  constructor(fleet, place) {
    this.fleet = fleet;
    Object.assign(this, place);
    this.dataDirectory = join(fleet.folder, `${this.name}-disk`);
    this.isExpectedToEnd = false;
    this.exit = undefined;
  }

  start() {
    const settings = join(this.fleet.folder, `${this.name}.yaml`);
    const template = join(ROOT, roleField(this.role, 'template'));
    const text = render(readFileSync(template, 'utf8'), this.settings());
    writeFileSync(settings, text);
    // The platform limits the descriptors of each process.
    const limited = `ulimit -n ${DESCRIPTORS} && exec "$@"`;
    const words = [
      '-c',
      limited,
      'run',
      ...roleField(this.role, 'run').split(' '),
    ];
    const child = spawn('bash', words, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        CYCLAMENFALL_SETTINGS: settings,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(this.fleet.folder, `${this.name}.log`), {
      flags: 'a',
    });
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    this.child = child;
    this.isExpectedToEnd = false;
    child.once('exit', (code, signal) => {
      this.exit = {code, signal, isExpected: this.isExpectedToEnd};
      this.child = undefined;
      this.fleet.record.line(
        `${this.name} ended: code ${code}, signal ${signal}` +
          (this.isExpectedToEnd ? '' : ', by itself'),
      );
    });
    this.fleet.record.line(`${this.name} started`);
  }

  /** Sends a signal to the process. */
  signal(name) {
    this.fleet.record.line(`${this.name}: ${name}`);
    if (name === 'SIGKILL' || name === 'SIGTERM') this.isExpectedToEnd = true;
    this.child?.kill(name);
  }

  /** Resident memory and its peak, in MB; `undefined` without a process. */
  memory() {
    try {
      const text = readFileSync(`/proc/${this.child.pid}/status`, 'utf8');
      const mbOf = field => {
        const line = new RegExp(`${field}:\\s+(\\d+)`).exec(text);
        return Math.round(Number(line[1]) / 1024);
      };
      return {residentMb: mbOf('VmRSS'), peakMb: mbOf('VmHWM')};
    } catch {
      // It has just ended.
      return undefined;
    }
  }

  log() {
    return readFileSync(join(this.fleet.folder, `${this.name}.log`), 'utf8');
  }

  /** What the platform says to the process, under the names of its pages. */
  settings() {
    const {fleet, host, zone, region} = this;
    const isEntry = this.role === 'entry';
    const listen = isEntry
      ? {front: `${host}:${PORT.front}`, ready: `${host}:${PORT.ready}`}
      : {
          control: `${host}:${PORT.control}`,
          directory: `${host}:${PORT.directory}`,
        };
    return {
      node: this.name,
      role: this.role,
      ip: host,
      zone,
      region,
      internalPortRange: [PORT.inner, PORT.inner + 15],
      seeds: fleet.controls.map(each => `${each.host}:${PORT.control}`),
      bootstrap: !this.hasStarted,
      ...(isEntry ? {} : {dataDirectory: this.dataDirectory}),
      zones: fleet.zones,
      listen,
      limits: {
        cpuShare: isEntry ? 0.675 : 0.81,
        cores: 1,
        memoryMb: isEntry ? 350 : 346,
        fileDescriptors: DESCRIPTORS,
        linkMbps: 1000,
        diskMb: isEntry ? 0 : 128,
      },
      tolerate: {machines: 1, zones: 1, regions: 1},
      bounds: {
        graceS: 8,
        retryBudgetRatio: 0.2,
        budgetWindowS: 10,
        retryBudgetSlack: 56,
        ...fleet.bounds,
      },
      cloud: {address: fleet.listAddress, ratePerS: 44, lagMs: 800},
    };
  }
}

/**
 * Fills in a template as the pages say: values, values as JSON, and sections that
 * are rendered if there is a value.
 */
function render(template, fields) {
  const valueOf = path =>
    path.split('.').reduce((value, name) => value?.[name], fields);
  const textOf = value =>
    value === undefined || value === null
      ? ''
      : typeof value === 'object'
        ? JSON.stringify(value)
        : String(value);
  return template
    .replace(/\{\{#([\w.]+)\}\}([^]*?)\{\{\/\1\}\}/g, (_, path, text) =>
      valueOf(path) === undefined ? '' : text,
    )
    .replace(/\{\{([\w.]+)\|json\}\}/g, (_, path) =>
      JSON.stringify(valueOf(path) ?? null),
    )
    .replace(/\{\{([\w.]+)\}\}/g, (_, path) => textOf(valueOf(path)));
}

/** A worker that follows the protocol; a case may replace `answer`. */
export class Worker {
  constructor(fleet, {id, service, zone, host, slots = 64, answer}) {
    Object.assign(this, {fleet, id, service, zone, host, slots});
    this.address = `${host}:${PORT.worker}`;
    this.born = Date.now();
    this.state = 'ready';
    this.isListed = true;
    this.runs = [];
    this.arrivals = [];
    this.answer = answer ?? answerPlain;
    this.server = createServer({maxHeaderSize: 131_072}, (request, response) =>
      this.handle(request, response),
    );
    this.server.maxHeadersCount = 0;
    this.server.keepAliveTimeout = 30_000;
  }

  start() {
    return listen(this.server, this.host, PORT.worker);
  }

  listed() {
    const {id, service, address, zone, slots, state, born} = this;
    return {
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state,
      coldRemainingMs: 0,
      stage: 'both',
      models: [{name: 'm', version: 1, adapters: []}],
      id,
      born,
    };
  }

  handle(request, response) {
    if (request.method === 'GET' && request.url === '/health') {
      request.resume();
      response.writeHead(200, {'instance-id': this.id}).end();
      return;
    }
    const chunks = [];
    request.on('error', () => undefined);
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => this.run(request, response, Buffer.concat(chunks)));
  }

  run(request, response, body) {
    const {headers} = request;
    const attemptId = headers['attempt-id'];
    const expected = headers['expect-instance'];
    this.arrivals.push({attemptId, at: performance.now()});
    if (expected !== undefined && expected !== this.id) {
      this.refuse(response, 421, attemptId);
      return;
    }
    if (attemptId === undefined) {
      this.refuse(response, 400, '');
      return;
    }
    this.runs.push({attemptId, headers, body, at: performance.now()});
    this.answer(this, request, response, body);
  }

  refuse(response, status, attemptId) {
    response
      .writeHead(status, {'not-executed': '1', 'attempt-id': attemptId})
      .end();
  }
}

/** A whole answer with a length, stamped by the worker. */
export function answerPlain(worker, request, response, body) {
  const attemptId = request.headers['attempt-id'];
  const digest = createHash('sha256').update(body).digest('hex').slice(0, 16);
  const text = `${attemptId} ${request.url} ${digest}`;
  response.writeHead(200, {
    'attempt-id': attemptId,
    'response-stamp': `${worker.id}.${attemptId}`,
    'content-length': String(text.length),
  });
  response.end(text);
}

function listen(server, host, port) {
  return new Promise((resolve, reject) => {
    server.once('error', reject);
    server.listen(port, host, resolve);
  });
}

/** The deployment; `close` ends all that it started. */
export class Fleet {
  constructor(record, network) {
    this.record = record;
    this.network = network;
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.zones = {
      'centro-a': 'centro',
      'cuyo-a': 'cuyo',
      'patagonia-a': 'patagonia',
    };
    this.members = [];
    this.workers = [];
    this.servers = [];
    this.listAddress = `${network}.200:${PORT.list}`;
    /** Entries that the list shows beside those of the workers. */
    this.otherEntries = [];
    /** Bounds that differ from those below. */
    this.bounds = {};
  }

  get controls() {
    return this.members.filter(each => each.role === 'control');
  }

  get entries() {
    return this.members.filter(each => each.role === 'entry');
  }

  /** `entries` and `workers` are lists of zones; the rest goes to each worker. */
  async start({entries, workers}) {
    Object.entries(this.zones).forEach(([zone, region], position) =>
      this.members.push(
        new Member(this, {
          role: 'control',
          name: `control-${position}`,
          zone,
          region,
          host: `${this.network}.${position + 1}`,
        }),
      ),
    );
    entries.forEach((zone, position) =>
      this.members.push(
        new Member(this, {
          role: 'entry',
          name: `entry-${position}`,
          zone,
          region: this.zones[zone],
          host: `${this.network}.${position + 11}`,
        }),
      ),
    );
    this.workers = workers.map(
      (each, position) =>
        new Worker(this, {
          id: `i-${position}`,
          host: `${this.network}.${position + 101}`,
          ...each,
        }),
    );
    await Promise.all(this.workers.map(each => each.start()));
    await this.startList();
    this.controls.forEach(each => mkdirSync(each.dataDirectory));
    this.members.forEach(each => {
      each.start();
      each.hasStarted = true;
    });
  }

  async startList() {
    const server = createServer((request, response) => {
      request.resume();
      const {searchParams} = new URL(request.url, 'http://list');
      const zone = searchParams.get('zone');
      const instances = [
        ...this.workers
          .filter(each => each.isListed)
          .map(each => each.listed()),
        ...this.otherEntries,
      ].filter(each => zone === null || each.zone === zone);
      const text = JSON.stringify({instances, next: null});
      response.writeHead(200, {'content-type': 'application/json'}).end(text);
    });
    this.servers.push(server);
    await listen(server, `${this.network}.200`, PORT.list);
  }

  /** Sends a configuration until it is acknowledged. */
  async configure(configuration, limitMs = 25_000) {
    const text = JSON.stringify(configuration);
    const startedAt = performance.now();
    for (let turn = 0; performance.now() - startedAt < limitMs; turn++) {
      const control = this.controls[turn % this.controls.length];
      const answer = await call({
        address: `${control.host}:${PORT.control}`,
        method: 'POST',
        path: '/Configuration.Replace',
        headers: {'content-type': 'application/json'},
        body: text,
        timeoutMs: 1_500,
      });
      if (answer.status === 200) {
        this.record.line(`configuration ${configuration.version} confirmed`);
        return;
      }
      await sleep(250);
    }
    throw new Error('the configuration was not confirmed');
  }

  /** Resolves once each entry says that it is ready, and a little later. */
  async untilReady(limitMs = 20_000) {
    const startedAt = performance.now();
    for (const {host} of this.entries) {
      for (;;) {
        const address = `${host}:${PORT.ready}`;
        const {status} = await call({address, path: '/readiness'});
        if (status === 200) break;
        if (performance.now() - startedAt > limitMs)
          throw new Error('not ready');
        await sleep(200);
      }
    }
    await sleep(5_000);
  }

  frontOf(entry) {
    return `${entry.host}:${PORT.front}`;
  }

  async close() {
    this.members.forEach(each => {
      each.isExpectedToEnd = true;
      each.child?.kill('SIGKILL');
    });
    for (let turn = 0; turn < 50; turn++) {
      if (this.members.every(each => each.child === undefined)) break;
      await sleep(100);
    }
    [...this.servers, ...this.workers.map(each => each.server)].forEach(
      each => {
        each.close();
        each.closeAllConnections();
      },
    );
    if (process.env.KEEP !== '1') {
      rmSync(this.folder, {recursive: true, force: true});
    }
  }
}

/** One request on a channel of its own; status 0 if there was no whole answer. */
export function call({
  address,
  method = 'GET',
  path,
  headers = {},
  body = '',
  timeoutMs = 1_000,
}) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const sent = httpRequest({
      host,
      port,
      method,
      path,
      headers: {...headers, 'content-length': String(Buffer.byteLength(body))},
      agent: new Agent({keepAlive: false}),
    });
    const end = answer => {
      clearTimeout(timer);
      sent.destroy();
      resolve(answer);
    };
    const timer = setTimeout(() => end({status: 0, cause: 'time'}), timeoutMs);
    sent.on('error', ({code}) => end({status: 0, cause: code}));
    sent.once('response', response => {
      const chunks = [];
      response.on('data', chunk => chunks.push(chunk));
      response.on('error', () => end({status: 0, cause: 'cut'}));
      response.on('end', () =>
        end({
          status: response.statusCode,
          headers: response.headers,
          text: Buffer.concat(chunks).toString('latin1'),
        }),
      );
    });
    sent.end(body);
  });
}

/** An id as clients make them. */
export function attemptId() {
  return randomBytes(8).toString('hex');
}

/** A configuration like those of the pages, with the given routes and services. */
export function configurationOf(version, routes, services, limits = {}) {
  return {
    version,
    routes,
    services,
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
      ...limits,
    },
  };
}

/**
 * Runs a case: `play` returns the breaks of the rule that it saw. Ends the process
 * with 0, 1 or 2 as the issue asks.
 */
export async function runCase(folderUrl, play) {
  const record = new Record(fileURLToPath(new URL('.', folderUrl)));
  record.line(`TROUBLE=${hasTrouble ? 1 : 0}`);
  let fleet;
  let code = EXIT.notRun;
  const giveUp = cause => {
    record.line(`not run: ${cause}`);
    fleet?.members.forEach(each => each.child?.kill('SIGKILL'));
    process.exit(EXIT.notRun);
  };
  const limit = setTimeout(() => giveUp('out of time'), TOTAL_LIMIT_MS);
  process.on('uncaughtException', error => giveUp(error.stack));
  ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach(name =>
    process.on(name, () => giveUp(name)),
  );
  try {
    fleet = new Fleet(record, await freeNetwork());
    const breaks = await play(fleet, record);
    breaks.slice(0, 20).forEach(each => record.line(`broken: ${each}`));
    record.line(
      breaks.length === 0
        ? 'the rule held'
        : `the rule was broken, ${breaks.length} times`,
    );
    code = breaks.length === 0 ? EXIT.held : EXIT.broken;
  } catch (error) {
    record.line(`not run: ${error.stack}`);
  }
  await fleet?.close();
  clearTimeout(limit);
  process.exit(code);
}
