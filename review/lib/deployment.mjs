/**
 * A small deployment on loopback: the programs of the deploy file as processes,
 * and stand-ins of the platform's list, the workers, the operator and clients.
 */
import {spawn} from 'node:child_process';
import {once} from 'node:events';
import {appendFileSync, mkdirSync, mkdtempSync, readFileSync} from 'node:fs';
import {rmSync, writeFileSync} from 'node:fs';
import http from 'node:http';
import net from 'node:net';
import {tmpdir} from 'node:os';
import {dirname, join} from 'node:path';
import {clearTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const ROOT = join(dirname(fileURLToPath(import.meta.url)), '..', '..');
const HEAP_ARGUMENT = '--max-old-space-size=200';
const PROGRAM = {
  entry: 'target/entry_main.cjs',
  control: 'target/control_main.cjs',
};
/** The pages' restart is after a short delay. */
const RESTART_MS = 300;

export {sleep};

/** Whether the run includes the disruption. */
export const hasTrouble = process.env.TROUBLE !== '0';

/** Notes a line in the case's record, with the time since the start. */
export class Record {
  constructor(folder) {
    this.path = process.argv[2] ?? join(folder, 'record.txt');
    this.startedAtMs = performance.now();
    writeFileSync(this.path, `trouble: ${hasTrouble ? 'yes' : 'no'}\n`);
  }

  note(text) {
    const seconds = (performance.now() - this.startedAtMs) / 1000;
    const relative = text.replaceAll(ROOT, '.');
    appendFileSync(this.path, `${seconds.toFixed(3)} ${relative}\n`);
  }
}

/** A network of loopback addresses on which the wanted ports are free. */
async function freeNetwork() {
  for (let attempt = 0; attempt < 50; attempt++) {
    const second = 64 + Math.floor(Math.random() * 190);
    const third = Math.floor(Math.random() * 255);
    const network = `127.${second}.${third}`;
    const base = 20_000 + Math.floor(Math.random() * 20_000);
    if (await isFree(`${network}.1`, base)) return {network, base};
  }
  throw new Error('no free loopback network');
}

function isFree(host, port) {
  return new Promise(resolve => {
    const server = net.createServer();
    server.once('error', () => resolve(false));
    server.listen(port, host, () => server.close(() => resolve(true)));
  });
}

export class Deployment {
  static async create(record, {zones, contactMs = 5_000}) {
    const place = await freeNetwork();
    return new Deployment(record, zones, contactMs, place);
  }

  constructor(record, zones, contactMs, {network, base}) {
    this.record = record;
    this.zones = zones;
    this.contactMs = contactMs;
    this.network = network;
    this.ports = {
      front: base,
      ready: base + 1,
      control: base + 2,
      directory: base + 3,
      inner: base + 4,
      metrics: base + 20,
      list: base + 30,
      worker: base + 40,
    };
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.processes = new Map();
    this.ownEnds = [];
    this.isStopping = false;
  }

  host(number) {
    return `${this.network}.${number}`;
  }

  get listAddress() {
    return `${this.host(200)}:${this.ports.list}`;
  }

  /** Adds a machine without starting it. */
  add(role, name, number, zone) {
    const machine = {role, name, zone, ip: this.host(number), mayFound: true};
    this.processes.set(name, machine);
    return machine;
  }

  machine(name) {
    return this.processes.get(name);
  }

  /** The control addresses that the settings name as seeds. */
  seeds = [];

  start(name) {
    const machine = this.machine(name);
    const settings = this.writeSettings(machine);
    const {PATH, HOME = '/'} = process.env;
    const child = spawn(
      process.execPath,
      [HEAP_ARGUMENT, PROGRAM[machine.role]],
      {
        cwd: ROOT,
        env: {PATH, HOME, CYCLAMENFALL_SETTINGS: settings},
        stdio: ['ignore', 'pipe', 'pipe'],
      },
    );
    machine.child = child;
    machine.isWanted = true;
    const logPath = join(this.folder, `${name}.log`);
    const log = chunk => appendFileSync(logPath, chunk);
    child.stdout.on('data', log);
    child.stderr.on('data', log);
    this.record.note(`${name}: started at ${machine.ip}`);
    child.once('exit', (code, signal) => this.noteExit(machine, code, signal));
  }

  /** Writes the settings file of a machine and returns its path. */
  writeSettings(machine) {
    const path = join(this.folder, `${machine.name}.yaml`);
    writeFileSync(path, JSON.stringify(this.settings(machine), null, 1));
    return path;
  }

  noteExit(machine, code, signal) {
    machine.child = undefined;
    if (this.isStopping || !machine.isWanted) return;
    this.ownEnds.push({name: machine.name, atMs: performance.now()});
    this.record.note(
      `${machine.name}: process ended by itself (code ${code}, ${signal})`,
    );
    const tail = this.log(machine.name).split('\n').slice(-14).join('\n  ');
    this.record.note(`${machine.name}: its last output:\n  ${tail}`);
    setTimeout(() => {
      if (!this.isStopping && machine.isWanted) this.start(machine.name);
    }, RESTART_MS);
  }

  log(name) {
    return readFileSync(join(this.folder, `${name}.log`), 'utf8');
  }

  /** Ends a process with a signal and resolves when it is gone. */
  async end(name, signal) {
    const machine = this.machine(name);
    const {child} = machine;
    if (child === undefined) return;
    machine.isWanted = false;
    this.record.note(`${name}: ${signal}`);
    const gone = once(child, 'exit');
    child.kill(signal);
    await gone;
    this.record.note(`${name}: ended after ${signal}`);
  }

  settings({role, ip, zone, name, mayFound}) {
    const {ports, seeds, zones} = this;
    const common = {
      instanceId: ip,
      domainId: zone,
      regionId: zones[zone],
      regionOfDomain: zones,
      innerAddress: `${ip}:${ports.inner}`,
      metricsAddress: `${ip}:${ports.metrics}`,
      seedAddresses: seeds,
      controlInnerPort: ports.inner,
      clusterSecret: 'cyclamenfall-cluster',
    };
    if (role === 'control') {
      const dataFolder = join(this.folder, `${name}-data`);
      mkdirSync(dataFolder, {recursive: true});
      return {
        ...common,
        operatorAddress: `${ip}:${ports.control}`,
        directoryAddress: `${ip}:${ports.directory}`,
        dataFolder,
        mayFound,
      };
    }
    return {
      ...common,
      callerAddress: `${ip}:${ports.front}`,
      readinessAddress: `${ip}:${ports.ready}`,
      stopGraceMs: 8_000,
      listAddress: this.listAddress,
      listLagMs: 800,
      retryRatio: 0.2,
      retryWindowMs: 10_000,
      retrySlack: 56,
    };
  }

  frontAddress(name) {
    return `${this.machine(name).ip}:${this.ports.front}`;
  }

  controlAddress(name) {
    return `${this.machine(name).ip}:${this.ports.control}`;
  }

  /** Resolves once all entries answer their readiness check with 200. */
  async untilReady(names, limitMs) {
    const deadline = performance.now() + limitMs;
    for (const name of names) {
      const address = `${this.machine(name).ip}:${this.ports.ready}`;
      while ((await call(address, 'GET', '/readiness')).status !== 200) {
        if (performance.now() > deadline) throw new Error(`${name} not ready`);
        await sleep(100);
      }
    }
  }

  /** Ends every process of this run and removes its files. */
  async stop() {
    this.isStopping = true;
    const running = [...this.processes.values()]
      .map(({child}) => child)
      .filter(child => child !== undefined);
    await Promise.all(
      running.map(child => {
        const gone = once(child, 'exit');
        child.kill('SIGCONT');
        child.kill('SIGKILL');
        return gone;
      }),
    );
    rmSync(this.folder, {recursive: true, force: true});
  }
}

/** One call with a complete answer; status 0 if there is none. */
export function call(address, method, path, body, timeoutMs = 1_000) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const request = http.request(
      {
        host,
        port,
        method,
        path,
        agent: false,
        headers: body === undefined ? {} : {'content-type': 'application/json'},
      },
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('error', () => resolve({status: 0, text: ''}));
        response.on('end', () => {
          clearTimeout(timer);
          const text = Buffer.concat(chunks).toString('utf8');
          resolve({status: response.statusCode, text});
        });
      },
    );
    const timer = setTimeout(() => request.destroy(), timeoutMs);
    request.on('error', () => {
      clearTimeout(timer);
      resolve({status: 0, text: ''});
    });
    request.end(body);
  });
}

/** An operator that sends an order again, to any node, until it is confirmed. */
export async function order(record, addresses, path, body, limitMs) {
  const deadline = performance.now() + limitMs;
  for (let attempt = 0; performance.now() < deadline; attempt++) {
    const address = addresses[attempt % addresses.length];
    const answer = await call(address, 'POST', path, body);
    const text = answer.text.slice(0, 100);
    record.note(`operator: ${path} at ${address}: ${answer.status} ${text}`);
    if (answer.status === 200) return true;
    if ([400, 409, 412, 413, 422].includes(answer.status)) return false;
    await sleep(Math.min(1_000, 100 * 2 ** Math.min(attempt, 4)));
  }
  return false;
}

/** The platform's list, one page a zone. */
export class List {
  constructor(address, workers) {
    this.workers = workers;
    /** Raw JSON items that another writer has added, by zone. */
    this.foreign = new Map();
    const [host, port] = address.split(':');
    this.server = http.createServer((request, response) => {
      request.resume();
      const url = new URL(request.url, 'http://list');
      const zone = url.searchParams.get('zone');
      const items = this.workers
        .filter(each => (zone === null || each.zone === zone) && each.isListed)
        .map(each => Buffer.from(JSON.stringify(each.listed())));
      const all = [...(this.foreign.get(zone) ?? []), ...items];
      const page = Buffer.concat([
        Buffer.from('{"instances":['),
        ...all.flatMap((item, i) =>
          i === 0 ? [item] : [Buffer.from(','), item],
        ),
        Buffer.from('],"next":null}'),
      ]);
      response.writeHead(200, {'content-type': 'application/json'});
      response.end(page);
    });
    this.started = new Promise(resolve =>
      this.server.listen(Number(port), host, resolve),
    );
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

/** A sound worker; `answer` sends the answer of a request that it runs. */
export class Worker {
  constructor(record, {id, service, zone, address, slots, answer}) {
    Object.assign(this, {record, id, service, zone, address, slots, answer});
    this.isListed = true;
    this.born = Date.now();
    /** Ids of the client attempts that it has run. */
    this.runs = [];
    this.server = http.createServer({keepAliveTimeout: 30_000}, (req, res) =>
      this.handle(req, res),
    );
    const [host, port] = address.split(':');
    this.started = new Promise(resolve =>
      this.server.listen(Number(port), host, resolve),
    );
  }

  listed() {
    const {id, service, zone, address, slots, born} = this;
    return {
      id,
      service,
      address,
      zone,
      version: 'v1',
      slots,
      state: 'ready',
      coldRemainingMs: 0,
      born,
    };
  }

  handle(request, response) {
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => {
      const {headers, url} = request;
      if (url === '/health') {
        response.writeHead(200, {'Instance-Id': this.id}).end();
        return;
      }
      const attempt = String(headers['attempt-id']);
      const expected = headers['expect-instance'];
      if (expected !== undefined && expected !== this.id) {
        this.record.note(`worker ${this.id}: ${attempt} turned away with 421`);
        const rejected = {'Attempt-Id': attempt, 'Not-Executed': '1'};
        response.writeHead(421, rejected).end();
        return;
      }
      this.record.note(`worker ${this.id}: runs ${attempt}`);
      this.runs.push(attempt);
      response.setHeader('Attempt-Id', attempt);
      response.setHeader('Response-Stamp', `${this.id}.${attempt}`);
      this.answer(request, response, attempt, Buffer.concat(chunks));
    });
  }

  stop() {
    this.server.close();
    this.server.closeAllConnections();
  }
}

let attempts = 0;

/** An id of its own for each client attempt. */
export function newAttemptId() {
  attempts += 1;
  const random = Math.floor(Math.random() * 0xffffffff);
  return (
    random.toString(16).padStart(8, '0') +
    attempts.toString(16).padStart(8, '0')
  );
}

/** The configuration of one host with the given routes and services. */
export function configuration(version, routes, services) {
  const limits = {
    maxHeaderBytes: 16_384,
    maxBodyBytes: 4_194_304,
    headerTimeoutMs: 3_000,
    idleTimeoutMs: 15_000,
  };
  return JSON.stringify({version, routes, services, limits});
}

/** Runs a case; its result is the exit code. */
export async function runCase(folder, body) {
  const record = new Record(folder);
  const cleanups = [];
  const finish = async code => {
    for (const cleanup of cleanups.splice(0)) await cleanup();
    process.exit(code);
  };
  const limit = setTimeout(() => {
    record.note('the case took too long');
    void finish(2);
  }, 112_000);
  process.once('SIGTERM', () => void finish(2));
  process.once('SIGINT', () => void finish(2));
  let code = 2;
  try {
    const broken = await body(record, cleanup => cleanups.unshift(cleanup));
    record.note(broken ? 'RESULT: the rule was broken' : 'RESULT: it held');
    code = broken ? 1 : 0;
  } catch (error) {
    record.note(`could not run: ${error.stack}`);
  }
  clearTimeout(limit);
  await finish(code);
}
