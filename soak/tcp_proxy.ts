/** A proxy on loopback that impairs the connections through it. */
import {connect, createServer, type Server, type Socket} from 'node:net';
import {setTimeout as sleep} from 'node:timers/promises';

/** What happens to the bytes of all connections through a proxy. */
export type LinkState =
  | 'open'
  /** New connections are reset; those that are open go on. */
  | 'refusing'
  /** Bytes towards the target are held back. */
  | 'cut_inbound'
  /** Bytes from the target are held back. */
  | 'cut_outbound'
  /** Bytes of both directions are held back. */
  | 'silent';

const HELD_INBOUND: readonly LinkState[] = ['cut_inbound', 'silent'];
const HELD_OUTBOUND: readonly LinkState[] = ['cut_outbound', 'silent'];

/**
 * Forwards bytes one way, in their order; what is held back arrives once the
 * link is open, with the end of the connection if that came meanwhile.
 */
class Direction {
  private readonly held: (() => void)[] = [];
  private delivered: Promise<unknown> = Promise.resolve();

  constructor(
    private readonly to: Socket,
    private readonly isHeld: () => boolean,
    private readonly delayMs: () => number,
  ) {}

  data(chunk: Buffer): void {
    this.pass(() => this.to.write(chunk));
  }

  end(): void {
    this.pass(() => this.to.end());
  }

  /** Delivers what was held back. */
  release(): void {
    if (this.isHeld()) return;
    this.held.splice(0).forEach(deliver => deliver());
  }

  private pass(deliver: () => void): void {
    if (this.isHeld() || this.held.length > 0) {
      this.held.push(deliver);
      return;
    }
    const dueAtMs = performance.now() + this.delayMs();
    this.delivered = this.delivered
      .then(() => sleep(Math.max(0, dueAtMs - performance.now())))
      .then(deliver);
  }
}

interface Link {
  readonly sockets: readonly Socket[];
  readonly directions: readonly Direction[];
}

/** Listens on one address and forwards to another. */
export class TcpProxy {
  private state: LinkState = 'open';
  private delayMs = 0;
  private readonly cutSources = new Set<string>();
  private readonly links = new Set<Link>();
  private readonly server: Server;

  constructor(
    private readonly listenAddress: string,
    private readonly targetAddress: string,
  ) {
    this.server = createServer(socket => this.accept(socket));
  }

  async start(): Promise<void> {
    const {host, port} = partsOf(this.listenAddress);
    await new Promise<void>((resolve, reject) => {
      this.server.once('error', reject);
      this.server.listen(port, host, resolve);
    });
  }

  stop(): void {
    this.server.close();
    this.reset();
  }

  impair(state: LinkState, delayMs = 0): void {
    this.state = state;
    this.delayMs = delayMs;
    this.release();
  }

  /** Holds back the bytes of both directions on connections from a host. */
  cut(source: string): void {
    this.cutSources.add(source);
  }

  /** Ends the cut of a host. */
  join(source: string): void {
    this.cutSources.delete(source);
    this.release();
  }

  /** Resets every connection. */
  reset(): void {
    [...this.links].forEach(link => link.sockets.forEach(resetSocket));
  }

  /** Delivers what nothing holds back any more. */
  private release(): void {
    [...this.links].forEach(link =>
      link.directions.forEach(direction => direction.release()),
    );
  }

  private accept(client: Socket): void {
    if (this.state === 'refusing') {
      resetSocket(client);
      return;
    }
    const {host, port} = partsOf(this.targetAddress);
    const target = connect(port, host);
    const delayMs = (): number => this.delayMs;
    const source = client.remoteAddress ?? '';
    const isHeld = (states: readonly LinkState[]): boolean =>
      states.includes(this.state) || this.cutSources.has(source);
    const inbound = new Direction(target, () => isHeld(HELD_INBOUND), delayMs);
    const outbound = new Direction(
      client,
      () => isHeld(HELD_OUTBOUND),
      delayMs,
    );
    const link = {sockets: [client, target], directions: [inbound, outbound]};
    this.links.add(link);
    forward(client, inbound, target);
    forward(target, outbound, client);
    // What a side sent before it closed may still be held back.
    link.sockets.forEach(socket =>
      socket.once('close', () => {
        if (link.sockets.every(each => each.closed)) this.links.delete(link);
      }),
    );
  }
}

function forward(from: Socket, direction: Direction, to: Socket): void {
  from.setNoDelay(true);
  from.on('data', (chunk: Buffer) => direction.data(chunk));
  from.on('end', () => direction.end());
  // The peer sees the same end that this side saw.
  from.on('error', () => resetSocket(to));
}

// A reset of a socket that is already shutting down leaves a handle of the
// runtime open, and the process then never ends.
function resetSocket(socket: Socket): void {
  if (socket.writableEnded) socket.destroy();
  else socket.resetAndDestroy();
}

function partsOf(address: string): {host: string; port: number} {
  const [host = '', port] = address.split(':');
  return {host, port: Number(port)};
}
