/**
 * An in-memory network for tests: `RpcClient`s that call the `RpcRouter`s of
 * other processes. Links can be cut and healed one way or both ways, delayed,
 * and made lossy by a seed. All waits use `setTimeout`, so mock timers control
 * them. Parameters, results and errors pass through JSON, as on the wire.
 */
import {
  fromErrorBody,
  GatewayError,
  toErrorBody,
  toGatewayError,
  type ErrorBody,
} from '../../types/errors.js';
import {asId, type InstanceId} from '../../types/ids.js';
import {RpcClient, type RpcRouter} from '../../rpc/rpc.js';
import {seededRandom} from './random.js';

/** How a link treats messages in one direction. */
export interface LinkOptions {
  /** @default 0 */
  readonly delayMs?: number;
  /** Random extra delay of up to this much; it reorders messages. @default 0 */
  readonly jitterMs?: number;
  /** Share of messages lost, 0 to 1. @default 0 */
  readonly lossShare?: number;
}

export interface MemoryNetworkOptions extends LinkOptions {
  /** @default 1 */
  readonly seed?: number;
}

interface Endpoint {
  readonly sender: InstanceId;
  readonly router: RpcRouter;
}

type Reply =
  | {readonly kind: 'result'; readonly json: string | undefined}
  | {readonly kind: 'error'; readonly json: string};

/** A set of endpoints, each with an address, and the links between them. */
export class MemoryNetwork {
  /** Messages and bytes that were sent, lost ones included. */
  readonly counters = {messages: 0, bytes: 0, lost: 0, largestBytes: 0};
  private readonly endpoints = new Map<string, Endpoint>();
  private readonly cutLinks = new Set<string>();
  private readonly silentConnections = new Set<string>();
  private readonly links = new Map<string, LinkOptions>();
  private readonly random: () => number;

  constructor(private defaults: MemoryNetworkOptions = {}) {
    this.random = seededRandom(defaults.seed ?? 1);
  }

  /** Adds or replaces a process and returns the client that it calls with. */
  attach(address: string, sender: string, router: RpcRouter): RpcClient {
    this.endpoints.set(address, {sender: asId<InstanceId>(sender), router});
    return new MemoryRpcClient(this, address);
  }

  /** Ends a process: calls to it fail at once as `unreachable`. */
  detach(address: string): void {
    this.endpoints.delete(address);
  }

  /** Silently drops what `from` sends to `to`. */
  cut(from: string, to: string): void {
    this.cutLinks.add(linkKey(from, to));
  }

  heal(from: string, to: string): void {
    this.cutLinks.delete(linkKey(from, to));
  }

  cutBoth(left: string, right: string): void {
    this.cut(left, right);
    this.cut(right, left);
  }

  healBoth(left: string, right: string): void {
    this.heal(left, right);
    this.heal(right, left);
  }

  /** Cuts both ways between every member of one group and of the other. */
  partition(group: readonly string[], others: readonly string[]): void {
    group.forEach(left => others.forEach(right => this.cutBoth(left, right)));
  }

  /** Cuts one address off from all others that are attached now. */
  isolate(address: string): void {
    const others = [...this.endpoints.keys()].filter(key => key !== address);
    this.partition([address], others);
  }

  /**
   * Lets the open connections of `from` to `to` go silent, as when a device on
   * the path loses their state. The first call that times out makes the client
   * drop them; later calls use a new connection.
   */
  silenceConnections(from: string, to: string): void {
    this.silentConnections.add(linkKey(from, to));
  }

  healAll(): void {
    this.cutLinks.clear();
  }

  /** Sets delay, jitter and loss of one direction of one link. */
  setLink(from: string, to: string, options: LinkOptions): void {
    this.links.set(linkKey(from, to), options);
  }

  /** Sets delay, jitter and loss of all links without settings of their own. */
  setDefaults(options: LinkOptions): void {
    this.defaults = {...this.defaults, ...options};
  }

  /**
   * Carries one call. A lost or cut message leaves the caller waiting until
   * `timeoutMs`, although the peer may have run the call.
   */
  call(
    from: string,
    to: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    const request = JSON.stringify(params ?? null);
    return new Promise((resolve, reject) => {
      const timer = setTimeout(() => {
        this.silentConnections.delete(linkKey(from, to));
        reject(networkError('timeout', method, to));
      }, timeoutMs);
      const receive = (reply: Reply): void => {
        clearTimeout(timer);
        if (reply.kind === 'error') {
          reject(fromErrorBody(JSON.parse(reply.json) as ErrorBody));
          return;
        }
        resolve(reply.json === undefined ? undefined : JSON.parse(reply.json));
      };
      if (this.silentConnections.has(linkKey(from, to))) return;
      this.carry(from, to, request.length, () => {
        void this.answer(from, to, method, request).then(reply =>
          this.carry(to, from, reply.json?.length ?? 0, () => receive(reply)),
        );
      });
    });
  }

  private async answer(
    from: string,
    to: string,
    method: string,
    request: string,
  ): Promise<Reply> {
    const target = this.endpoints.get(to);
    const sender =
      this.endpoints.get(from)?.sender ?? asId<InstanceId>('detached');
    try {
      if (target === undefined) throw networkError('unreachable', method, to);
      const params: unknown = JSON.parse(request);
      const result = await target.router.dispatch(method, params, {sender});
      return {kind: 'result', json: JSON.stringify(result)};
    } catch (thrown) {
      const error = toGatewayError(thrown, `rpc.${method}`, to);
      return {kind: 'error', json: JSON.stringify(toErrorBody(error))};
    }
  }

  private carry(
    from: string,
    to: string,
    sizeBytes: number,
    deliver: () => void,
  ): void {
    const link = this.links.get(linkKey(from, to)) ?? this.defaults;
    const isLost = this.random() < (link.lossShare ?? 0);
    const delayMs =
      (link.delayMs ?? 0) + Math.floor(this.random() * (link.jitterMs ?? 0));
    this.counters.messages++;
    this.counters.bytes += sizeBytes;
    const {largestBytes} = this.counters;
    this.counters.largestBytes = Math.max(largestBytes, sizeBytes);
    if (isLost || this.cutLinks.has(linkKey(from, to))) {
      this.counters.lost++;
      return;
    }
    if (delayMs === 0) {
      queueMicrotask(deliver);
      return;
    }
    // A link that is cut while a message is under way drops it.
    setTimeout(() => {
      if (this.cutLinks.has(linkKey(from, to))) this.counters.lost++;
      else deliver();
    }, delayMs);
  }
}

class MemoryRpcClient extends RpcClient {
  constructor(
    private readonly network: MemoryNetwork,
    private readonly address: string,
  ) {
    super();
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  protected override send(
    address: string,
    method: string,
    params: unknown,
    timeoutMs: number,
  ): Promise<unknown> {
    return this.network.call(this.address, address, method, params, timeoutMs);
  }
}

function linkKey(from: string, to: string): string {
  return `${from} -> ${to}`;
}

function networkError(
  code: 'timeout' | 'unreachable',
  method: string,
  peer: string,
): GatewayError {
  return new GatewayError({
    code,
    message:
      code === 'timeout'
        ? `no answer to ${method} in time`
        : `no process listens for ${method}`,
    step: 'rpc.call',
    peer,
  });
}
