/** Callers of one run: they keep connections and note what they get. */
import {Agent, request} from 'undici';
import {HEADER} from '../platform/headers.js';
import type {CallDraft, Callers} from './callers.js';
import {eventsOf, ROUTES, type CallResult, type TakeUp} from './history.js';

export const HOST = 'soak.example';
/** The route's time limit. */
export const TIMEOUT_MS = 2_500;
/** A caller waits a little longer than the gateway may take. */
const PATIENCE_MS = TIMEOUT_MS + 1_500;
const CONNECT_MS = 1_000;

export interface TrafficOptions {
  /** Callers' addresses of the entries of each region. */
  readonly entries: ReadonlyMap<string, readonly string[]>;
  readonly callsPerS: number;
  readonly random: () => number;
  readonly callers: Callers;
  /** The newest version that the operator sent. */
  readonly newestVersion: () => number;
}

/** Sends calls until it is stopped. */
export class Traffic {
  readonly calls: CallResult[] = [];
  private readonly agent = new Agent({
    connect: {timeout: CONNECT_MS},
    keepAliveTimeout: 10_000,
  });
  private timer: NodeJS.Timeout | undefined;
  private startedAtMs = 0;
  private sent = 0;
  private readonly underWay = new Set<Promise<void>>();

  constructor(private readonly options: TrafficOptions) {}

  start(): void {
    const intervalMs = 1_000 / this.options.callsPerS;
    this.startedAtMs = performance.now();
    this.timer = setInterval(() => this.sendOne(), intervalMs);
  }

  /** Resolves when the last call has ended. */
  async stop(): Promise<void> {
    clearInterval(this.timer);
    await Promise.all(this.underWay);
    await this.agent.destroy();
  }

  private sendOne(): void {
    const {random, entries, callers, newestVersion} = this.options;
    const elapsedMs = performance.now() - this.startedAtMs;
    const region = pick(callers.regionsAt(elapsedMs), random);
    const address = pick(entries.get(region ?? '') ?? [], random);
    if (region === undefined || address === undefined) return;
    const draft = callers.draw(random, newestVersion());
    this.sent += 1;
    const call = this.callAndTakeUp(
      address,
      region,
      draft,
      `${callers.name}-${this.sent}`,
    );
    this.underWay.add(call);
    void call.finally(() => this.underWay.delete(call));
  }

  /** A stream that breaks off is taken up once, at any entry of the region. */
  private async callAndTakeUp(
    address: string,
    region: string,
    draft: CallDraft,
    attemptId: string,
  ): Promise<void> {
    const first = await this.call(address, region, draft, attemptId);
    const events = eventsOf(first.text);
    const lastEventId = events.at(-1)?.id;
    const {entries, random} = this.options;
    const next = pick(entries.get(region) ?? [], random);
    const mayTakeUp = ROUTES[draft.route].resumable && !first.isComplete;
    if (!mayTakeUp || lastEventId === undefined || next === undefined) return;
    const versions = events.map(each => each.version);
    await this.call(next, region, draft, `${attemptId}-again`, {
      attemptId,
      lastEventId,
      versions,
    });
  }

  private async call(
    address: string,
    region: string,
    draft: CallDraft,
    attemptId: string,
    takesUp?: TakeUp,
  ): Promise<CallResult> {
    const sentAtMs = performance.now();
    const end = await this.exchange(address, draft, attemptId, takesUp);
    const endedAtMs = performance.now();
    const {route, key} = draft;
    const result: CallResult = {
      attemptId,
      route,
      region,
      entry: address,
      sentAtMs,
      endedAtMs,
      ...end,
      ...(key === undefined ? {} : {key}),
      ...(takesUp === undefined ? {} : {takesUp}),
    };
    this.calls.push(result);
    return result;
  }

  private async exchange(
    address: string,
    draft: CallDraft,
    attemptId: string,
    takesUp: TakeUp | undefined,
  ): Promise<Pick<CallResult, 'status' | 'isComplete' | 'stamp' | 'text'>> {
    const {path} = ROUTES[draft.route];
    const seen = {status: 0, stamp: undefined as string | undefined, text: ''};
    try {
      const answer = await request(`http://${address}${path}${attemptId}`, {
        method: 'POST',
        dispatcher: this.agent,
        headers: {
          host: HOST,
          [HEADER.attemptId]: attemptId,
          [HEADER.waitsMs]: String(PATIENCE_MS),
          ...identityHeaders(draft),
          ...(takesUp === undefined
            ? {}
            : {
                [HEADER.lastEventId]: String(takesUp.lastEventId),
                [HEADER.resumedAttemptId]: takesUp.attemptId,
              }),
        },
        body: attemptId,
        signal: AbortSignal.timeout(PATIENCE_MS),
      });
      seen.status = answer.statusCode;
      seen.stamp = stampOf(answer.headers);
      for await (const chunk of answer.body) seen.text += String(chunk);
      return {...seen, isComplete: true};
    } catch {
      // A broken or missing response is what the checks are about.
      return {...seen, isComplete: false};
    }
  }
}

/** The headers of a call that say who sends it. */
function identityHeaders({
  key,
  claimedWorkspace,
}: CallDraft): Readonly<Record<string, string>> {
  return {
    ...(key === undefined ? {} : {[HEADER.callerKey]: key}),
    ...(claimedWorkspace === undefined
      ? {}
      : {[HEADER.workspace]: claimedWorkspace}),
  };
}

function stampOf(
  headers: Readonly<Record<string, string | string[] | undefined>>,
): string | undefined {
  const stamp = headers[HEADER.signature];
  return typeof stamp === 'string' ? stamp : undefined;
}

/** One of the values, `undefined` if there is none. */
export function pick<Value>(
  values: readonly Value[],
  random: () => number,
): Value | undefined {
  return values[Math.floor(random() * values.length)];
}
