/**
 * What one process holds for peers that send or read slowly: bodies of requests and
 * responses, and the bytes that wait for callers to read them. The sum is bounded.
 */
import {monotonicNowMs} from '../clock/clock.js';
import {
  choosePeersToLetGo,
  isSlow,
  OBSERVATION_MS,
  type PeerView,
} from './slow_peers.js';

/** What is held: the request's head and body, a copy for another entry, the response. */
export type HeldPart = 'head' | 'body' | 'copy' | 'response';

/** A larger response is not read whole. */
export const MAX_WHOLE_RESPONSE_BYTES = 4 * 1_048_576;
/** Ordinary requests have shorter parts, and must not be refused for large ones. */
const SHORT_PART_BYTES = 16_384;
const LARGE_PART_SHARE = 0.75;
/** For the response that is read first. */
const FIRST_RESPONSE_SHARE = 0.875;

/** The two sides of one request, as the bound needs to see them. */
export interface HeldPeer {
  /** Bytes of a response that wait for the peer to read them. */
  readonly unreadBytes: number;
  /** Bytes of the response that have left the process. */
  readonly takenBytes: number;
  /** Ends the response so that it does not look complete. */
  letGo(): void;
}

interface Sample {
  readonly atMs: number;
  readonly movedBytes: number;
}

/** The bytes held for one request. */
export class Holding {
  /** Whether an upstream is kept busy until the peer has read what it sends. */
  keepsUpstream = false;
  private readonly parts = new Map<HeldPart, number>();
  /** Rejects the body that is arriving; `undefined` if none is. */
  private abandonBody: (() => void) | undefined;
  private receivedBytes = 0;
  /** Within the time of observation, while something is due from the peer. */
  private samples: readonly Sample[] = [];
  private readonly baseBytes: number;
  private isClosed = false;

  constructor(
    private readonly held: HeldBytes,
    private readonly peer: HeldPeer,
  ) {
    this.baseBytes = peer.takenBytes;
  }

  /** Bytes of the parts, or of the stream that waits for its reader. */
  get bytes(): number {
    const isStreaming = this.sizeOf('response') === 0;
    return this.partBytes + (isStreaming ? this.peer.unreadBytes : 0);
  }

  get partBytes(): number {
    return [...this.parts.values()].reduce((sum, each) => sum + each, 0);
  }

  /** Sets the size of a part; false, and unchanged, if the bound has no room. */
  resize(part: HeldPart, sizeBytes: number): boolean {
    if (this.isClosed) return false;
    const addedBytes = sizeBytes - this.sizeOf(part);
    const request = {part, sizeBytes, addedBytes, asking: this};
    if (addedBytes > 0 && !this.held.makeRoom(request)) return false;
    this.parts.set(part, sizeBytes);
    this.held.add(addedBytes);
    if (part === 'response') this.held.noteArriving(this, sizeBytes > 0);
    return true;
  }

  /** Whether a body of this size could be added now. */
  hasRoomFor(bytes: number): boolean {
    const request = {sizeBytes: bytes, addedBytes: bytes, asking: this};
    return !this.isClosed && this.held.makeRoom({part: 'body', ...request});
  }

  /** The upstream has sent the response, or it is not read whole. */
  endResponse(): void {
    this.keepsUpstream = false;
    this.held.noteArriving(this, false);
  }

  sizeOf(part: HeldPart): number {
    return this.parts.get(part) ?? 0;
  }

  /**
   * Calls `attempt` when there may be room, until it returns true or the request
   * ends. Returns a function that ends the wait.
   */
  whenRoom(attempt: () => boolean): () => void {
    return this.held.wait(() => this.isClosed || attempt());
  }

  /** A body begins to arrive; `abandon` gives it up. */
  startBody(abandon: () => void): void {
    this.abandonBody = abandon;
  }

  noteReceived(bytes: number): void {
    this.receivedBytes += bytes;
  }

  endBody(): void {
    this.abandonBody = undefined;
  }

  /** Ends the request: nothing is held for it any more. */
  close(): void {
    this.endBody();
    this.held.remove(this, this.partBytes);
    this.parts.clear();
    this.isClosed = true;
  }

  letGo(): void {
    const {abandonBody} = this;
    if (abandonBody === undefined) this.peer.letGo();
    else abandonBody();
  }

  /** Notes how much the peer has moved so far. */
  sample(nowMs: number): void {
    const isDue = this.abandonBody !== undefined || this.peer.unreadBytes > 0;
    const {movedBytes} = this;
    const oldestMs = nowMs - OBSERVATION_MS;
    const later = this.samples.filter((_, position) => {
      const next = this.samples[position + 1];
      return next === undefined || next.atMs > oldestMs;
    });
    this.samples = isDue ? [...later, {atMs: nowMs, movedBytes}] : [];
  }

  /** Nothing is due from a peer without samples. */
  view(nowMs: number): PeerView<Holding> {
    const {movedBytes} = this;
    const [first] = this.samples;
    const observedMs = first === undefined ? 0 : nowMs - first.atMs;
    const moved = movedBytes - (first?.movedBytes ?? movedBytes);
    return {
      id: this,
      heldBytes: first === undefined ? 0 : this.bytes,
      movedBytes,
      bytesPerS: observedMs > 0 ? (moved * 1_000) / observedMs : Infinity,
      observedMs,
    };
  }

  private get movedBytes(): number {
    return this.receivedBytes + this.peer.takenBytes - this.baseBytes;
  }
}

const SAMPLE_MS = 500;

export interface HeldBytesOptions {
  readonly maxBytes: number;
  /** Called for each peer that is let go. */
  readonly onLetGo?: (view: PeerView<unknown>) => void;
}

/** A part that begins or grows. */
interface RoomRequest {
  readonly part: HeldPart;
  readonly sizeBytes: number;
  readonly addedBytes: number;
  readonly asking: Holding;
}

/** The bytes held for all requests of one process. */
export class HeldBytes {
  private readonly holdings = new Set<Holding>();
  /** Whose responses are being read whole, in the order in which these began. */
  private readonly arriving = new Set<Holding>();
  /** Sources that are not read until there is room for what they send. */
  private readonly waiting = new Set<() => boolean>();
  private isWaking = false;
  private partBytes = 0;
  private unreadBytes = 0;
  private timer: ReturnType<typeof setInterval> | undefined;

  constructor(private readonly options: HeldBytesOptions) {}

  /** Bytes of all parts, and of streams as of the last sample. */
  get totalBytes(): number {
    return this.partBytes + this.unreadBytes;
  }

  open(peer: HeldPeer): Holding {
    const holding = new Holding(this, peer);
    this.holdings.add(holding);
    this.timer ??= setInterval(() => this.sample(), SAMPLE_MS).unref();
    return holding;
  }

  /** Whether a part fits, after slow peers were let go if they have to be. */
  makeRoom(request: RoomRequest): boolean {
    const roomBytes = this.roomFor(request) - request.addedBytes;
    if (this.totalBytes <= roomBytes) return true;
    this.letGoSlow(this.totalBytes - roomBytes, request.asking);
    return this.totalBytes <= roomBytes;
  }

  /** A response begins or ends to arrive. */
  noteArriving(holding: Holding, isArriving: boolean): void {
    if (isArriving) this.arriving.add(holding);
    else if (this.arriving.delete(holding)) this.wakeSoon();
  }

  add(bytes: number): void {
    this.partBytes += bytes;
    if (bytes < 0) this.wakeSoon();
  }

  wait(attempt: () => boolean): () => void {
    this.waiting.add(attempt);
    return () => this.waiting.delete(attempt);
  }

  remove(holding: Holding, bytes: number): void {
    if (!this.holdings.delete(holding)) return;
    this.arriving.delete(holding);
    this.partBytes -= bytes;
    this.wakeSoon();
    if (this.holdings.size > 0) return;
    clearInterval(this.timer);
    this.timer = undefined;
    this.unreadBytes = 0;
  }

  /** Observes all peers; lets slow ones go while streams exceed the bound. */
  sample(): void {
    const nowMs = monotonicNowMs();
    this.holdings.forEach(each => each.sample(nowMs));
    const heldBytes = [...this.holdings].reduce(
      (sum, each) => sum + each.bytes,
      0,
    );
    this.unreadBytes = heldBytes - this.partBytes;
    this.letGoSlow(heldBytes - this.options.maxBytes);
    this.freeUpstreams(nowMs);
    this.wake();
  }

  /** The sum up to which a part may take bytes. */
  private roomFor({part, sizeBytes, asking}: RoomRequest): number {
    const {maxBytes} = this.options;
    if (sizeBytes <= SHORT_PART_BYTES) return maxBytes;
    const [first] = this.arriving;
    const isFirst = part === 'response' && first === asking;
    if (isFirst) return maxBytes * FIRST_RESPONSE_SHARE;
    // The first response can become whole: parts of several that fill the room would
    // wait for each other.
    const reservedBytes =
      first === undefined
        ? 0
        : Math.max(0, MAX_WHOLE_RESPONSE_BYTES - first.sizeOf('response'));
    return maxBytes * LARGE_PART_SHARE - reservedBytes;
  }

  private freeUpstreams(nowMs: number): void {
    [...this.holdings]
      .filter(({keepsUpstream}) => keepsUpstream)
      .map(each => each.view(nowMs))
      .filter(isSlow)
      .forEach(view => this.letGo(view));
  }

  private wakeSoon(): void {
    if (this.waiting.size === 0 || this.isWaking) return;
    this.isWaking = true;
    setImmediate(() => this.wake());
  }

  // In the order in which they began to wait.
  private wake(): void {
    this.isWaking = false;
    [...this.waiting].forEach(attempt => {
      if (attempt()) this.waiting.delete(attempt);
    });
  }

  private letGoSlow(excessBytes: number, asking?: Holding): void {
    if (excessBytes <= 0) return;
    const nowMs = monotonicNowMs();
    const views = [...this.holdings]
      .filter(each => each !== asking)
      .map(each => each.view(nowMs));
    const chosen = new Set(choosePeersToLetGo(views, excessBytes));
    views.filter(({id}) => chosen.has(id)).forEach(view => this.letGo(view));
  }

  private letGo(view: PeerView<Holding>): void {
    const {id} = view;
    const unreadBytes = Math.max(0, view.heldBytes - id.partBytes);
    this.options.onLetGo?.(view);
    id.letGo();
    id.close();
    this.unreadBytes = Math.max(0, this.unreadBytes - unreadBytes);
  }
}
