/**
 * How fast one upstream is, learned from its answers: relative to the other
 * upstreams of its service, so that what all have in common is learned once.
 */
import {BASE_FIRST_ANSWER_MS, DECODE_MS_PER_TOKEN} from './constants.js';
import {LearnedAverage} from './learned_average.js';
import type {ServiceSpeeds} from './service_speeds.js';

/** Weight of one answer once many are known. */
const MIN_WEIGHT = 0.05;
/** Answers that the speed of the service is worth for one upstream. */
const GUESS_SAMPLES = 2;
/** Below this, network delay dominates the time of a first answer. */
const MIN_PREFILL_MS = 50;
/** Up to this, prefill hardly counts in the time of a first answer. */
const MAX_BASE_PREFILL_MS = 40;
/** An upstream is at most this many times slower than the average. */
const MAX_RATIO = 6;
/** A service is at most this many times slower than the first guess. */
const MAX_SERVICE_RATIO = 2;
const MAX_BASE_MS = MAX_SERVICE_RATIO * BASE_FIRST_ANSWER_MS;
const MAX_TOKEN_MS = MAX_SERVICE_RATIO * DECODE_MS_PER_TOKEN;
/** Few are much faster than the average; a lucky one must not draw all work. */
const MIN_RATIO = 0.6;
/**
 * An answer corrects what is known by this factor at most: it may have waited for
 * something else, such as prompts that were read later than predicted.
 */
const MAX_CORRECTION = 2;
const MIN_STEP_MS = 0.1;
/** Streams of fewer events tell too little of the time of a step. */
const MIN_STREAM_EVENTS = 4;
/** Prefill of others may take this share of a stream whose steps are measured. */
const MAX_PREFILL_SHARE = 0.3;
/**
 * An upstream that is known as slow and so gets little work is taken for an
 * average one after some time, so that it can show that it is no longer slow.
 */
const RELAX_MS = 20_000;

/** The first answer of an engine, with what was expected as it was sent. */
export interface FirstAnswer {
  readonly firstAnswerMs: number;
  /** Prefill of its own prompt and those before it, as predicted. */
  readonly prefillMs: number;
  /** `slowness` at the time of the prediction. */
  readonly slowness: number;
}

/** A stream that ended, at an engine. */
export interface EndedStream {
  readonly events: number;
  readonly tokensPerEvent: number;
  /** Tokens that it was expected to write. */
  readonly expectedTokens: number;
  /** Time from the first event to the last one. */
  readonly writingMs: number;
  /** Prefill of prompts that came during the stream, as predicted. */
  readonly prefillMs: number;
  /** Requests in the batch. */
  readonly running: number;
}

/** The learned speed of one upstream. */
export class UpstreamSpeed {
  private readonly relative = new LearnedAverage({
    guess: 1,
    guessSamples: GUESS_SAMPLES,
    minWeight: MIN_WEIGHT,
  });
  private readonly calls = new LearnedAverage({
    guess: 1,
    guessSamples: GUESS_SAMPLES,
    minWeight: MIN_WEIGHT,
  });
  private relaxedAtMs = 0;

  constructor(
    private readonly service: ServiceSpeeds,
    private readonly slots: number,
  ) {}

  /** Ratio of its times to those of an average upstream of the service. */
  get relativeSlowness(): number {
    return this.relative.value;
  }

  /** Ratio of its prefill times to those at the nominal rate. */
  get slowness(): number {
    return this.service.prefillRatio.value * this.relative.value;
  }

  /** Time to a first answer without any prefill. */
  get baseMs(): number {
    return this.service.baseMs.value * this.relative.value;
  }

  /** Time of a plain call. */
  get callMs(): number {
    return this.service.callMs.value * this.calls.value;
  }

  /** Time between two tokens of a stream in a full batch. */
  get fullBatchTokenMs(): number {
    const {service, slots} = this;
    const stepMs = service.stepsFor(slots).stepMs(slots);
    return Math.max(stepMs, service.tokenMs.value) * this.relative.value;
  }

  /** By how much one more request in the batch lengthens each step. */
  get stepGrowthMs(): number {
    const {growthMs} = this.service.stepsFor(this.slots);
    return growthMs * this.relative.value;
  }

  noteCall(totalMs: number): void {
    const {callMs} = this.service;
    callMs.note(totalMs);
    const ratio = totalMs / Math.max(1, callMs.value);
    this.calls.note(Math.min(MAX_RATIO, Math.max(MIN_RATIO, ratio)));
  }

  noteFirstAnswer(answer: FirstAnswer): void {
    const {firstAnswerMs, prefillMs, slowness} = answer;
    const nominalMs = prefillMs / slowness;
    if (nominalMs <= MAX_BASE_PREFILL_MS) {
      const baseMs = Math.max(1, firstAnswerMs - prefillMs);
      this.service.baseMs.note(Math.min(MAX_BASE_MS, baseMs));
    }
    if (nominalMs < MIN_PREFILL_MS) return;
    const readMs = Math.max(1, firstAnswerMs - this.baseMs);
    const correction = withinBounds(
      readMs / nominalMs / this.slowness,
      MAX_CORRECTION,
    );
    const {prefillRatio} = this.service;
    const before = prefillRatio.value;
    prefillRatio.note(Math.min(MAX_SERVICE_RATIO, before * correction));
    // What the service has learned from it is not learned of the upstream again.
    this.noteRelative(correction * (before / prefillRatio.value));
  }

  noteStream(stream: EndedStream): void {
    const {events, tokensPerEvent, expectedTokens} = stream;
    const {writingMs, prefillMs, running} = stream;
    if (events < MIN_STREAM_EVENTS || writingMs <= 0) return;
    // Events that arrive together count as one.
    const tokens = Math.max((events - 1) * tokensPerEvent, expectedTokens);
    const {tokenMs} = this.service;
    tokenMs.note(Math.min(MAX_TOKEN_MS, writingMs / tokens));
    if (prefillMs > writingMs * MAX_PREFILL_SHARE) return;
    const stepMs = (writingMs - prefillMs) / tokens;
    const steps = this.service.stepsFor(this.slots);
    steps.note(running, Math.min(MAX_TOKEN_MS, stepMs));
    const usualMs = steps.stepMs(running);
    const expectedMs = Math.max(MIN_STEP_MS, usualMs) * this.relative.value;
    this.noteRelative(withinBounds(stepMs / expectedMs, MAX_CORRECTION));
  }

  /** Forgets by and by what is not confirmed by further answers. */
  relax(nowMs: number): void {
    const elapsedMs = Math.max(0, nowMs - this.relaxedAtMs);
    this.relaxedAtMs = nowMs;
    const share = 1 - Math.exp(-elapsedMs / RELAX_MS);
    this.relative.relax(share);
    this.calls.relax(share);
  }

  /** Forgets what it has learned; the next process may be another one. */
  clear(): void {
    this.relative.clear();
    this.calls.clear();
  }

  private noteRelative(correction: number): void {
    const corrected = this.relative.value * correction;
    this.relative.note(Math.min(MAX_RATIO, Math.max(MIN_RATIO, corrected)));
  }
}

/** Bounds a ratio to at most `maxFactor` in either direction. */
function withinBounds(ratio: number, maxFactor: number): number {
  return Math.min(maxFactor, Math.max(1 / maxFactor, ratio));
}
