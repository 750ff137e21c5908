/**
 * What is learned of the speed of all upstreams of one service together. An
 * upstream that has answered nothing yet is taken to be like the others.
 */
import {BASE_FIRST_ANSWER_MS, INITIAL_SERVICE_MS} from './constants.js';
import {LearnedAverage} from './learned_average.js';
import {StepTimes} from './step_times.js';

const MIN_WEIGHT = 0.02;
/** Weight of first answers that took longer: they may have waited for a slot. */
const WAITING_WEIGHT = 0.3;

/** The learned speeds of one service. */
export class ServiceSpeeds {
  /** Ratio of prefill times to those at the nominal rate. */
  readonly prefillRatio = average(1, WAITING_WEIGHT);
  /** Time to the first answer without any prefill. */
  readonly baseMs = average(BASE_FIRST_ANSWER_MS, WAITING_WEIGHT);
  /** Time of a plain call. */
  readonly callMs = average(INITIAL_SERVICE_MS);
  /** Time between two tokens of a stream, including the prefill beside it. */
  readonly tokenMs = average(0);
  private steps: StepTimes | undefined;

  /** The steps of an engine with `slots` slots. */
  stepsFor(slots: number): StepTimes {
    this.steps ??= new StepTimes(slots);
    return this.steps;
  }
}

function average(guess: number, weightAbove = 1): LearnedAverage {
  return new LearnedAverage({
    guess,
    guessSamples: 1,
    minWeight: MIN_WEIGHT,
    weightAbove,
  });
}
