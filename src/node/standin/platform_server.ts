/**
 * A stand-in of the platform's feeds: the list of live and leaving upstreams,
 * which lags, the weight store's rate, and the clients' directory.
 */
import {
  createServer,
  type IncomingMessage,
  type Server,
  type ServerResponse,
} from 'node:http';
import {wallNowMs} from '../clock/clock.js';
import {closeServer, listen, readBody, sendJson} from '../http/server.js';

const MAX_BODY_BYTES = 1024 * 1024;
const DIRECTORY_PREFIX = '/directory/';

/** What the stand-in platform is set up with. */
export interface PlatformOptions {
  /** How old the list is that a reader gets. */
  readonly lagMs: number;
}

interface Change {
  readonly atMs: number;
  readonly upstreamId: string;
  readonly state: 'live' | 'leaving' | 'gone';
}

/** The platform's feeds on one address. */
export class PlatformServer {
  private readonly changes: Change[] = [];
  private readonly directory = new Map<string, readonly string[]>();
  private readonly server: Server;

  constructor(private readonly options: PlatformOptions) {
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

  /** Changes the state of an upstream; readers see it after the lag. */
  setState(upstreamId: string, state: Change['state']): void {
    this.changes.push({atMs: wallNowMs(), upstreamId, state});
  }

  private async answer(
    request: IncomingMessage,
    response: ServerResponse,
  ): Promise<void> {
    const bytes = await readBody(request, MAX_BODY_BYTES);
    const path = request.url ?? '/';
    if (path === '/upstreams') {
      sendJson(response, 200, this.visibleStates());
      return;
    }
    if (path === '/test/state') {
      const change = JSON.parse(bytes.toString('utf8')) as Change;
      this.setState(change.upstreamId, change.state);
      sendJson(response, 200, {});
      return;
    }
    if (path.startsWith(DIRECTORY_PREFIX) && request.method === 'PUT') {
      const domainId = path.slice(DIRECTORY_PREFIX.length);
      const addresses = JSON.parse(bytes.toString('utf8')) as string[];
      this.directory.set(domainId, addresses);
      sendJson(response, 200, {});
      return;
    }
    if (path === '/directory') {
      sendJson(response, 200, Object.fromEntries(this.directory));
      return;
    }
    sendJson(response, 404, {error: 'not found'});
  }

  private visibleStates(): Record<string, Change['state']> {
    const visibleUntilMs = wallNowMs() - this.options.lagMs;
    return Object.fromEntries(
      this.changes
        .filter(change => change.atMs <= visibleUntilMs)
        .map(change => [change.upstreamId, change.state]),
    );
  }
}
