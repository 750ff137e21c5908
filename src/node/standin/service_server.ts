/**
 * A stand-in plain service, such as bookings or orders. It counts executions
 * by key so that tests and the demo can show that none ran twice.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {setTimeout as sleep} from 'node:timers/promises';
import {closeServer, listen, readBody, sendJson} from '../http/server.js';

const MAX_BODY_BYTES = 4 * 1024 * 1024;

/** What a stand-in service is set up with. */
export interface ServiceOptions {
  readonly upstreamId: string;
  readonly serviceName: string;
  readonly workMs: number;
}

/** One executed call. */
export interface Execution {
  readonly key: string;
  readonly method: string;
  readonly path: string;
}

/** How the service misbehaves in a test. */
export type ServiceFault = 'none' | 'refuse' | 'break_after_work' | 'silent';

/** A stand-in service that listens on one address. */
export class ServiceServer {
  readonly executions: Execution[] = [];
  fault: ServiceFault = 'none';
  private readonly server: Server;

  constructor(private readonly options: ServiceOptions) {
    this.server = createServer((request, response) => {
      this.answer(request, response).catch(() => response.destroy());
    });
  }

  start(address: string): Promise<string> {
    return listen(this.server, address);
  }

  async stop(): Promise<void> {
    this.server.closeAllConnections();
    await closeServer(this.server);
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const bytes = await readBody(request, MAX_BODY_BYTES);
    if (request.url === '/test/executions') {
      sendJson(response, 200, this.executions);
      return;
    }
    if (request.url === '/test/state') {
      const wanted = JSON.parse(bytes.toString('utf8')) as {
        fault: ServiceFault;
      };
      this.fault = wanted.fault;
      sendJson(response, 200, {fault: this.fault});
      return;
    }
    await this.execute(request, response, bytes);
  }

  private async execute(
    request: IncomingMessage,
    response: ServerResponse,
    bytes: Buffer,
  ): Promise<void> {
    if (this.fault === 'refuse') {
      response.setHeader('x-not-run', '1');
      sendJson(response, 503, {error: 'not accepting work'});
      return;
    }
    const key = String(request.headers['idempotency-key'] ?? 'none');
    const path = request.url ?? '/';
    const number = this.executions.push({
      key,
      method: request.method ?? 'GET',
      path,
    });
    await sleep(this.options.workMs);
    if (this.fault === 'silent') return;
    if (this.fault === 'break_after_work') {
      response.destroy();
      return;
    }
    sendJson(response, 200, {
      service: this.options.serviceName,
      upstream: this.options.upstreamId,
      confirmation: `${this.options.upstreamId}-${number}`,
      received_bytes: bytes.length,
    });
  }
}
