/**
 * A small deployment of the project's programs, as separate processes on loopback:
 * the run lines and templates of the deploy file, filled in as the users' pages say.
 * Beside it: an operator, and the platform's list of workers.
 */
import {spawn} from 'node:child_process';
import {
  appendFileSync,
  createWriteStream,
  mkdirSync,
  mkdtempSync,
  readFileSync,
  rmSync,
  writeFileSync,
} from 'node:fs';
import {createServer, request as httpRequest} from 'node:http';
import {tmpdir} from 'node:os';
import {join} from 'node:path';
import {clearTimeout} from 'node:timers';
import {setTimeout as sleep} from 'node:timers/promises';
import {fileURLToPath} from 'node:url';

const ROOT = fileURLToPath(new URL('../..', import.meta.url));
const PORT = {
  front: 8144,
  ready: 8140,
  control: 8146,
  directory: 8147,
  inner: 7660,
};

/** The bounds of the sheet of the small deployment. */
export const BOUNDS = {
  seedLagS: 3,
  reuseAfterS: 2,
  contactMs: 5000,
  acknowledgeMs: 6000,
  catchUpS: 4,
  drainMs: 5000,
  graceS: 8,
  lossSlackMs: 200,
  configurationApplyMs: 3000,
  rollbackSlackMs: 250,
  outerBoundMs: 8000,
  retryBudgetRatio: 0.2,
  budgetWindowS: 10,
  retryBudgetSlack: 56,
  coldOverage: 1.5,
  coldSlack: 3,
  evacuationMs: 5000,
  recoveryS: 12,
};

let hosts = 0;

/** A loopback address of this run alone. */
export function freshHost() {
  hosts += 1;
  const {pid} = process;
  return `127.${64 + ((pid >> 8) & 0x3f)}.${pid & 0xff}.${hosts}`;
}

function valueAt(fields, path) {
  return path
    .split('.')
    .reduce((value, name) => (value == null ? undefined : value[name]), fields);
}

function fillTemplate(text, fields) {
  return text.replaceAll(/\{\{([^}|]+)(\|json)?\}\}/g, (_, path, json) => {
    const value = valueAt(fields, path.trim());
    if (value === undefined) return '';
    if (json) return JSON.stringify(value);
    return Array.isArray(value) ? value.join(',') : String(value);
  });
}

function roleOf(name) {
  const deploy = readFileSync(join(ROOT, 'deploy/system.toml'), 'utf8');
  const section = deploy.split(`[roles.${name}]`)[1]?.split('\n[')[0] ?? '';
  const read = key => new RegExp(`^${key} = "([^"]*)"`, 'm').exec(section)?.[1];
  return {run: read('run'), template: read('template')};
}

/** Writes what was sent, answered and run. */
export class Record {
  /** `file` is the `record.txt` of a case. */
  constructor(file) {
    this.file = file;
    this.startedAt = Date.now();
    writeFileSync(this.file, '');
  }

  write(text) {
    const at = ((Date.now() - this.startedAt) / 1000).toFixed(3);
    appendFileSync(this.file, `${at} ${text}\n`);
  }
}

class Machine {
  constructor(deployment, {name, role, zone, region, host, limits}) {
    Object.assign(this, {deployment, name, role, zone, region, host, limits});
    this.starts = 0;
    this.ends = [];
  }

  address(port) {
    return `${this.host}:${PORT[port]}`;
  }

  get pid() {
    return this.child?.pid;
  }

  start() {
    const {deployment, role} = this;
    const {run, template} = roleOf(role);
    const folder = deployment.folder;
    const settings = join(folder, `${this.name}.yaml`);
    const dataDirectory = join(folder, `${this.name}-data`);
    mkdirSync(dataDirectory, {recursive: true});
    const isFront = role === 'entry';
    const text = fillTemplate(readFileSync(join(ROOT, template), 'utf8'), {
      node: this.name,
      ip: this.host,
      zone: this.zone,
      region: this.region,
      zones: deployment.zones,
      internalPortRange: [PORT.inner, PORT.inner + 15],
      seeds: deployment.seeds,
      bootstrap: this.starts === 0 && !deployment.hasBegun,
      listen: isFront
        ? {front: this.address('front'), ready: this.address('ready')}
        : {
            control: this.address('control'),
            directory: this.address('directory'),
          },
      dataDirectory,
      limits: this.limits,
      tolerate: {machines: 1, zones: 1, regions: 1},
      bounds: {...BOUNDS, ...deployment.bounds},
      cloud: {address: deployment.listAddress, lagMs: 800, ratePerS: 44},
    });
    writeFileSync(settings, text);
    const [command, ...args] = run.split(' ');
    const child = spawn(command, args, {
      cwd: ROOT,
      env: {
        PATH: process.env.PATH,
        HOME: process.env.HOME,
        LANG: process.env.LANG,
        CYCLAMENFALL_SETTINGS: settings,
      },
      stdio: ['ignore', 'pipe', 'pipe'],
    });
    const log = createWriteStream(join(folder, `${this.name}.log`), {
      flags: 'a',
    });
    child.stdout.pipe(log, {end: false});
    child.stderr.pipe(log, {end: false});
    this.starts += 1;
    this.child = child;
    this.gone = new Promise(resolve =>
      child.once('exit', (code, signal) => {
        if (this.child === child) this.child = undefined;
        this.ends.push({code, signal});
        resolve();
      }),
    );
  }

  signal(name) {
    this.child?.kill(name);
  }

  async kill() {
    this.signal('SIGKILL');
    await this.gone;
  }

  /** Memory in MB without what is mapped from files, as the kernel counts it. */
  memoryMb() {
    try {
      const text = readFileSync(`/proc/${this.pid}/status`, 'utf8');
      return Number(/^RssAnon:\s+(\d+)/m.exec(text)?.[1] ?? 0) / 1024;
    } catch {
      return 0;
    }
  }
}

/** The processes of one deployment, with the list of workers. */
export class Deployment {
  constructor({fronts, cores, zones, bounds = {}, limits = {}}) {
    this.folder = mkdtempSync(join(tmpdir(), 'review-'));
    this.zones = zones;
    this.bounds = bounds;
    this.hasBegun = false;
    this.workers = [];
    const place = (role, prefix) => (given, position) => {
      const {zone, ...own} = typeof given === 'string' ? {zone: given} : given;
      return new Machine(this, {
        name: `${prefix}-${position}-${zone}`,
        role,
        zone,
        region: zones[zone],
        host: freshHost(),
        limits: {
          cpuShare: 0.675,
          memoryMb: 350,
          linkMbps: 1000,
          fileDescriptors: 4100,
          ...limits,
          ...own,
        },
      });
    };
    this.fronts = fronts.map(place('entry', 'front'));
    this.cores = cores.map(place('control', 'core'));
    this.seeds = this.cores.slice(0, 3).map(each => each.address('control'));
    // Whatever ends this process, its programs end too.
    process.on('exit', () =>
      [...this.cores, ...this.fronts].forEach(each => each.signal('SIGKILL')),
    );
    ['SIGINT', 'SIGTERM', 'SIGHUP'].forEach(name =>
      process.once(name, () => process.exit(2)),
    );
    this.listHost = freshHost();
    this.listAddress = `${this.listHost}:8142`;
  }

  async start() {
    await this.startList();
    [...this.cores, ...this.fronts].forEach(each => each.start());
    this.hasBegun = true;
  }

  startList() {
    this.list = createServer((request, response) => {
      request.resume();
      const zone = new URL(request.url, 'http://list').searchParams.get('zone');
      const instances = this.workers
        .filter(each => zone === null || each.zone === zone)
        .filter(each => each.isListed !== false)
        .map(each => each.listed());
      response.writeHead(200, {'content-type': 'application/json'});
      response.end(JSON.stringify({instances, next: null}));
    });
    return new Promise(resolve =>
      this.list.listen(8142, this.listHost, resolve),
    );
  }

  /** Sends one order of the operator until it is confirmed. */
  async order(path, body, withinMs = 20_000) {
    const endAt = Date.now() + withinMs;
    for (let turn = 0; Date.now() < endAt; turn += 1) {
      const core = this.cores[turn % this.cores.length];
      const answer = await call(core.address('control'), 'POST', path, body);
      if (answer.status === 200) return answer;
      await sleep(150);
    }
    throw new Error(`no confirmation of ${path}`);
  }

  /** Waits until all fronts say that they are ready. */
  async ready(withinMs = 20_000) {
    const endAt = Date.now() + withinMs;
    for (const front of this.fronts) {
      for (;;) {
        const answer = await call(front.address('ready'), 'GET', '/readiness');
        if (answer.status === 200) break;
        if (Date.now() > endAt) throw new Error(`${front.name} is not ready`);
        await sleep(100);
      }
    }
  }

  async stop() {
    const all = [...this.cores, ...this.fronts];
    all.forEach(each => each.signal('SIGCONT'));
    all.forEach(each => each.signal('SIGKILL'));
    await Promise.all(all.map(each => each.gone));
    this.workers.forEach(each => each.stop());
    this.list?.close();
    this.list?.closeAllConnections();
    if (process.env.KEEP_LOGS === undefined) {
      rmSync(this.folder, {recursive: true, force: true});
    }
  }
}

/** One call on a connection of its own; status 0 without an answer. */
export function call(address, method, path, body, headers = {}, ms = 1000) {
  const [host, port] = address.split(':');
  return new Promise(resolve => {
    const sent = httpRequest(
      {host, port, method, path, agent: false, headers},
      response => {
        const chunks = [];
        response.on('data', chunk => chunks.push(chunk));
        response.on('end', () =>
          end({
            status: response.statusCode,
            headers: response.headers,
            isWhole: response.complete,
            body: Buffer.concat(chunks),
          }),
        );
        response.on('error', () =>
          end({
            status: response.statusCode,
            headers: response.headers,
            isWhole: false,
            body: Buffer.concat(chunks),
          }),
        );
      },
    );
    const timer = setTimeout(() => end({status: 0}), ms);
    const end = result => {
      clearTimeout(timer);
      sent.destroy();
      resolve(result);
    };
    sent.on('error', error => end({status: 0, error: error.code}));
    sent.end(body);
  });
}

/** A configuration in the operator's format. */
export function configuration({version, routes, services, tenants, limits}) {
  return JSON.stringify({
    version,
    routes: routes.map(route => ({
      host: 'ficu95.example',
      timeoutMs: 4000,
      targetLatencyMs: 500,
      priority: 2,
      attempts: 1,
      sticky: false,
      resumable: false,
      targetGapMs: 0,
      homeRegions: [],
      ...route,
    })),
    services: services.map(service => ({
      healthCheckPath: '/health',
      connectionLimit: 360,
      protocol: 'h1',
      tls: false,
      coldStartS: 0,
      coldPerS: 0,
      ...service,
    })),
    limits: {
      maxHeaderBytes: 16384,
      maxBodyBytes: 4194304,
      headerTimeoutMs: 3000,
      idleTimeoutMs: 15000,
      ...limits,
    },
    ...(tenants === undefined ? {} : {tenants}),
  });
}
