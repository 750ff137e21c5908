/** How fast one upstream is, learned from the times of its answers. */
import {
  AVERAGE_WEIGHT,
  BASE_FIRST_ANSWER_MS,
  DECODE_MS_PER_TOKEN,
  INITIAL_SERVICE_MS,
} from './constants.js';
import {EngineSlowness} from './engine_slowness.js';

/** The first answer of an engine, with what was expected as it was sent. */
export interface FirstAnswer {
  readonly firstAnswerMs: number;
  /** Prefill of its own prompt and those before it, as predicted. */
  readonly prefillMs: number;
  /** `slowness` at the time of the prediction. */
  readonly slowness: number;
}

/** The learned speed of one upstream. */
export class UpstreamSpeed {
  private readonly engine = new EngineSlowness();
  private meanCallMs = INITIAL_SERVICE_MS;

  /** Ratio of its answer times to those of an engine of nominal speed. */
  get slowness(): number {
    return this.engine.factor;
  }

  /** Time to a first answer without any prefill. */
  get baseMs(): number {
    return BASE_FIRST_ANSWER_MS * this.slowness;
  }

  /** Time of a plain call. */
  get callMs(): number {
    return this.meanCallMs;
  }

  /** Time between two tokens of a stream in a full batch. */
  get fullBatchTokenMs(): number {
    return DECODE_MS_PER_TOKEN * this.slowness;
  }

  noteCall(totalMs: number): void {
    this.meanCallMs += AVERAGE_WEIGHT * (totalMs - this.meanCallMs);
  }

  noteFirstAnswer({firstAnswerMs, prefillMs, slowness}: FirstAnswer): void {
    const expectedMs = BASE_FIRST_ANSWER_MS * slowness + prefillMs;
    this.engine.note(firstAnswerMs, expectedMs);
  }
}
