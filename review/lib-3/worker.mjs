/** A sound worker of the users' pages, as a server on loopback. */
import {createServer} from 'node:http';
import {clearTimeout} from 'node:timers';
import {freshHost} from './deployment.mjs';

let ids = 0;

export class Worker {
  /** `answer` may replace how a request is answered. */
  constructor({
    service,
    zone,
    slots = 64,
    workMs = 20,
    version = 'v1',
    answer,
    onRun,
  }) {
    ids += 1;
    Object.assign(this, {service, zone, slots, workMs, version, onRun});
    this.id = `i-${process.pid.toString(16)}${ids}`;
    this.host = freshHost();
    this.address = `${this.host}:8080`;
    this.born = Date.now();
    this.state = 'ready';
    this.isListed = true;
    this.runs = [];
    this.running = 0;
    if (answer !== undefined) this.answer = answer;
  }

  start() {
    this.server = createServer({maxHeaderSize: 131_072}, (request, response) =>
      this.handle(request, response),
    );
    this.server.keepAliveTimeout = 30_000;
    return new Promise(resolve => this.server.listen(8080, this.host, resolve));
  }

  stop() {
    clearTimeout(this.restart);
    this.server?.close();
    this.server?.closeAllConnections();
  }

  /** Ends as a process that crashes does; back after `downMs` as a new one. */
  crash(downMs) {
    this.stop();
    this.isDown = true;
    this.crashes = [...(this.crashes ?? []), Date.now()];
    this.restart = setTimeout(() => {
      ids += 1;
      this.id = `i-${process.pid.toString(16)}${ids}`;
      this.born = Date.now();
      this.isDown = false;
      this.running = 0;
      void this.start();
    }, downMs);
  }

  listed() {
    return {
      id: this.id,
      service: this.service,
      address: this.address,
      zone: this.zone,
      version: this.version,
      slots: this.slots,
      state: this.state,
      coldRemainingMs: 0,
      born: this.born,
    };
  }

  handle(request, response) {
    if (request.url === '/health') {
      request.resume();
      response.writeHead(200, {'instance-id': this.id}).end();
      return;
    }
    const chunks = [];
    request.on('data', chunk => chunks.push(chunk));
    request.on('end', () => this.run(request, response, Buffer.concat(chunks)));
    request.on('error', () => undefined);
  }

  run(request, response, body) {
    const attempt = request.headers['attempt-id'];
    const expected = request.headers['expect-instance'];
    if (expected !== undefined && expected !== this.id) {
      response
        .writeHead(421, {'not-executed': '1', 'attempt-id': attempt ?? ''})
        .end();
      return;
    }
    if (this.running >= this.slots) {
      response
        .writeHead(503, {'not-executed': '1', 'attempt-id': attempt ?? ''})
        .end();
      return;
    }
    this.running += 1;
    response.once('close', () => (this.running -= 1));
    const run = {
      attempt,
      at: Date.now(),
      path: request.url,
      bytes: body.length,
    };
    this.runs.push(run);
    this.onRun?.(this, run, request);
    this.answer(request, response, body, run);
  }

  head(attempt) {
    return {'attempt-id': attempt ?? '', 'response-stamp': `stamp.${this.id}`};
  }

  answer(request, response, body, run) {
    setTimeout(() => {
      response.writeHead(200, this.head(run.attempt));
      response.end(`done ${run.attempt}`);
    }, this.workMs);
  }
}

/** A worker that streams events, as model workers do. */
export class StreamWorker extends Worker {
  constructor(options) {
    super(options);
    this.events = options.events ?? 6;
    this.firstMs = options.firstMs ?? 60;
    this.gapMs = options.gapMs ?? 40;
    this.models = [{name: 'm', version: 1, adapters: []}];
  }

  listed() {
    return {...super.listed(), stage: 'both', models: this.models};
  }

  head(attempt) {
    return {...super.head(attempt), 'weight-versions': '1'};
  }

  /** What it tells of itself; it keeps no prompts, and so has no events of them. */
  says(path, query) {
    if (path === '/report') {
      return {
        stage: 'both',
        models: this.models,
        busy: false,
        sequence: 0,
        waiting: 0,
        running: this.running,
        kvCacheUsed: 0,
        kvCacheTotal: 246_518,
        handles: 0,
        pinned: 0,
        held: 0,
        state: 'ready',
        next: 0,
        runs: [],
        born: this.born,
      };
    }
    const epoch = `e${this.born}`;
    const {born} = this;
    if (path === '/kv-list') return {epoch, next: 0, held: [], born};
    if (path !== '/kv-events') return undefined;
    const next = Number(query.get('since') ?? 0);
    return {epoch, next, lost: false, events: [], born};
  }

  handle(request, response) {
    const {pathname, searchParams} = new URL(request.url, 'http://worker');
    const said = this.says(pathname, searchParams);
    if (said === undefined) {
      super.handle(request, response);
      return;
    }
    request.resume();
    const isWaiting = pathname === '/kv-events';
    const waitMs = isWaiting ? Number(request.headers['wait-ms'] ?? 0) : 0;
    setTimeout(
      () => {
        response.writeHead(200, {'content-type': 'application/json'});
        response.end(JSON.stringify(said));
      },
      Math.min(waitMs, 1000),
    );
  }

  answer(request, response, body, run) {
    const last = Number(request.headers['last-event-id'] ?? -1);
    const sendFrom = id => {
      if (response.destroyed) return;
      if (id >= this.events) {
        response.end();
        return;
      }
      response.write(`id: ${id}\ndata: piece ${id} of ${run.attempt}\n\n`);
      setTimeout(() => sendFrom(id + 1), this.gapMs);
    };
    setTimeout(() => {
      if (response.destroyed) return;
      response.writeHead(200, {
        ...this.head(run.attempt),
        'content-type': 'text/event-stream',
      });
      sendFrom(last + 1);
    }, this.firstMs);
  }
}
