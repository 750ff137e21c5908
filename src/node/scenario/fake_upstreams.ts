/**
 * Upstreams in memory: model engines and plain services that run calls on the
 * paused clock, with the faults that scenarios set.
 */
import {Readable} from 'node:stream';
import {createHash} from 'node:crypto';
import {
  ModelUpstream,
  type ModelAnswer,
  type ModelCall,
  type UpstreamLoad,
  type UpstreamOrder,
  type UpstreamPeer,
} from '../adapters/upstream/model_upstream.js';
import {
  ServiceUpstream,
  type DispatchOutcome,
  type ServiceRequest,
  type ServiceTarget,
} from '../adapters/upstream/plain_service.js';
import {monotonicNowMs} from '../clock/clock.js';
import type {UpstreamConfig} from '../config/configuration.js';
import {GatewayError} from '../types/errors.js';
import {asId, type Digest, type ModelId} from '../types/ids.js';

/** A prompt with this text ends the engine that runs it. */
export const POISON_TEXT = 'poison';
const PREFILL_MS = 40;
const TOKEN_MS = 10;
const SERVICE_MS = 20;
const DEATH_NOTICE_MS = 5;
/** A dead engine comes back after this time, as its platform restarts it. */
const ENGINE_RESTART_MS = 3_000;

/** Reports an execution and returns its result. */
export type RecordExecution = (execution: {
  readonly callId: string;
  readonly upstreamId: string;
  readonly prompt?: string;
  readonly key?: string;
}) => string;

/** An order as an engine received it. */
export interface ReceivedOrder {
  readonly upstreamId: string;
  readonly token: number;
  readonly holder: string;
  readonly isAccepted: boolean;
  readonly checksFencing: boolean;
}

interface EngineState {
  readonly config: UpstreamConfig;
  state: 'healthy' | 'dead' | 'leaving' | 'silent' | 'lying';
  running: number;
  loaded: readonly ModelId[];
  lastToken: number;
  /** Open answers, which end when the engine dies. */
  readonly open: Set<Readable>;
}

/** All model engines of a scenario. */
export class FakeEngines extends ModelUpstream {
  private readonly engines: ReadonlyMap<string, EngineState>;

  constructor(
    upstreams: readonly UpstreamConfig[],
    private readonly record: RecordExecution,
    private readonly onDeath: (upstreamId: string) => void,
    private readonly onOrder: (order: ReceivedOrder) => void,
  ) {
    super();
    this.engines = new Map(
      upstreams
        .filter(upstream => upstream.kind === 'model')
        .map(config => [
          config.upstreamId,
          {
            config,
            state: 'healthy',
            running: 0,
            loaded: config.modelIds,
            lastToken: 0,
            open: new Set(),
          },
        ]),
    );
  }

  /** Sets the state of one engine. */
  set(upstreamId: string, state: EngineState['state']): void {
    const engine = this.engine(upstreamId);
    engine.state = state;
    if (state === 'dead') this.breakAnswers(engine);
  }

  override async open(
    peer: UpstreamPeer,
    call: ModelCall,
  ): Promise<ModelAnswer> {
    const engine = this.engine(peer.upstreamId);
    if (engine.state === 'dead') throw refusedConnection(peer);
    if (engine.state === 'leaving') throw refusedWork(peer);
    const body = JSON.parse(call.body.toString()) as {
      model: string;
      messages: Array<{content: string}>;
      max_tokens: number;
      stream?: boolean;
    };
    const prompt = body.messages[0]?.content ?? '';
    if (!engine.loaded.some(id => id === body.model)) throw refusedWork(peer);
    const callId = call.requestId.replace(/\.\d+$/, '');
    const result = this.record({callId, upstreamId: peer.upstreamId, prompt});
    if (prompt.includes(POISON_TEXT)) {
      await pause(DEATH_NOTICE_MS);
      this.die(engine);
      throw lostConnection(peer);
    }
    if (engine.state === 'silent') return neverAnswered(call.signal, peer);
    engine.running += 1;
    await pause(PREFILL_MS);
    const answer = this.generate(engine, result, body.max_tokens);
    if (this.isDead(engine)) throw lostConnection(peer);
    return {
      status: 200,
      contentType: body.stream === true ? 'text/event-stream' : 'text/plain',
      offsetBytes: 0,
      body: answer,
    };
  }

  override resume(peer: UpstreamPeer): Promise<ModelAnswer> {
    const engine = this.engine(peer.upstreamId);
    const error = this.isDead(engine)
      ? refusedConnection(peer)
      : lostConnection(peer);
    return Promise.reject(error);
  }

  override cancel(): Promise<void> {
    return Promise.resolve();
  }

  override readLoad(peer: UpstreamPeer): Promise<UpstreamLoad> {
    const engine = this.engine(peer.upstreamId);
    if (this.isDead(engine)) return Promise.reject(refusedConnection(peer));
    if (engine.state === 'silent') return Promise.reject(lostConnection(peer));
    const isLying = engine.state === 'lying';
    return Promise.resolve({
      runningCount: isLying ? 0 : engine.running,
      queuedCount: 0,
      slotCount: engine.config.slotCount,
      loadedModelIds: engine.loaded,
      leaving: engine.state === 'leaving',
      cacheSequence: 0,
    });
  }

  override order(peer: UpstreamPeer, order: UpstreamOrder): Promise<boolean> {
    const engine = this.engine(peer.upstreamId);
    const {checksFencing} = engine.config;
    const {fencingToken: token, holder, modelId} = order;
    const isAccepted = !checksFencing || token >= engine.lastToken;
    const {upstreamId} = peer;
    this.onOrder({upstreamId, token, holder, isAccepted, checksFencing});
    if (!isAccepted) return Promise.resolve(false);
    engine.lastToken = Math.max(engine.lastToken, token);
    const others = engine.loaded.filter(each => each !== modelId);
    engine.loaded = order.kind === 'load' ? [...others, modelId] : others;
    return Promise.resolve(true);
  }

  /** Sets the models that one engine has loaded. */
  setModels(upstreamId: string, loaded: readonly string[]): void {
    this.engine(upstreamId).loaded = loaded.map(id => asId<ModelId>(id));
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }

  private generate(
    engine: EngineState,
    result: string,
    tokenCount: number,
  ): Readable {
    const answer = new Readable({read: () => undefined});
    engine.open.add(answer);
    const end = (): void => {
      engine.open.delete(answer);
      engine.running -= 1;
    };
    const emit = (left: number): void => {
      if (answer.destroyed) return end();
      if (left === 0) {
        answer.push(`${result}\n\ndata: [DONE]\n\n`);
        answer.push(null);
        return end();
      }
      setTimeout(() => emit(left - 1), TOKEN_MS);
    };
    emit(tokenCount);
    return answer;
  }

  private die(engine: EngineState): void {
    engine.state = 'dead';
    this.onDeath(engine.config.upstreamId);
    this.breakAnswers(engine);
    setTimeout(() => {
      if (engine.state === 'dead') engine.state = 'healthy';
    }, ENGINE_RESTART_MS);
  }

  private breakAnswers(engine: EngineState): void {
    [...engine.open].forEach(answer =>
      answer.destroy(new Error('the connection was reset')),
    );
  }

  private isDead(engine: EngineState): boolean {
    return engine.state === 'dead';
  }

  private engine(upstreamId: string): EngineState {
    const engine = this.engines.get(upstreamId);
    if (engine === undefined) throw new Error(`no engine ${upstreamId}`);
    return engine;
  }
}

type ServiceFault = 'healthy' | 'dead' | 'refusing' | 'breaking' | 'silent';

/** All plain services of a scenario. */
export class FakeServices extends ServiceUpstream {
  private readonly faults: Map<string, ServiceFault>;

  constructor(
    upstreams: readonly UpstreamConfig[],
    private readonly record: RecordExecution,
  ) {
    super();
    this.faults = new Map(
      upstreams
        .filter(upstream => upstream.kind === 'service')
        .map(upstream => [upstream.upstreamId, 'healthy']),
    );
  }

  /** Sets the fault of one service worker. */
  set(upstreamId: string, fault: ServiceFault): void {
    if (!this.faults.has(upstreamId)) {
      throw new Error(`no service worker ${upstreamId}`);
    }
    this.faults.set(upstreamId, fault);
  }

  override async dispatch(
    target: ServiceTarget,
    request: ServiceRequest,
    deadlineAtMs: number,
  ): Promise<DispatchOutcome> {
    const {upstreamId} = target;
    const fault = this.faults.get(upstreamId) ?? 'healthy';
    if (fault === 'dead' || fault === 'refusing') {
      const error = fault === 'dead' ? refusedConnection : refusedWork;
      return {kind: 'not_run', error: error(target)};
    }
    // Idempotent calls have no key.
    const key = request.headers['idempotency-key'];
    const callId = request.headers['x-request-id'] ?? '';
    const result = this.record({
      callId,
      upstreamId,
      ...(key === undefined ? {} : {key}),
    });
    await pause(SERVICE_MS);
    if (fault === 'breaking') {
      return {kind: 'unknown', error: lostConnection(target)};
    }
    if (fault === 'silent') {
      await pause(Math.max(0, deadlineAtMs - monotonicNowMs()));
      return {kind: 'unknown', error: lostConnection(target)};
    }
    const body = Buffer.from(result);
    return {
      kind: 'answered',
      answer: {
        status: 200,
        headers: {'content-type': 'text/plain'},
        body,
        bodyDigest: asId<Digest>(
          createHash('sha256').update(body).digest('hex'),
        ),
        bodySizeBytes: body.length,
      },
    };
  }

  override close(): Promise<void> {
    return Promise.resolve();
  }
}

function pause(durationMs: number): Promise<void> {
  return new Promise(resolve => setTimeout(resolve, durationMs));
}

function neverAnswered(signal: AbortSignal, peer: UpstreamPeer) {
  return new Promise<ModelAnswer>((_resolve, reject) => {
    if (signal.aborted) reject(lostConnection(peer));
    signal.addEventListener('abort', () => reject(lostConnection(peer)));
  });
}

function refusedConnection(peer: UpstreamPeer): GatewayError {
  return new GatewayError({
    code: 'unreachable',
    message: 'the connection was refused',
    step: 'upstream.open',
    peer: peer.upstreamId,
    work: 'not_run',
  });
}

function refusedWork(peer: UpstreamPeer): GatewayError {
  return new GatewayError({
    code: 'upstream_refused',
    message: 'the upstream refused the work before it ran',
    step: 'upstream.open',
    peer: peer.upstreamId,
    work: 'not_run',
  });
}

function lostConnection(peer: UpstreamPeer): GatewayError {
  return new GatewayError({
    code: 'upstream_failed',
    message: 'the connection was lost',
    step: 'upstream.open',
    peer: peer.upstreamId,
    work: 'unknown',
  });
}
