/** Draws the times in which an upstream sends copies of its answers late. */
import type {CopyMoment} from '../platform/standin/late_copies.js';
import type {Behaviour} from '../platform/standin/stand_in.js';
import {FAULTS_MS, type Fault} from './fault_plan.js';
import {pick} from './traffic.js';

const SHORTEST_MS = 1_500;
const LONGEST_MS = 5_000;
/** By share of the faults. */
const BEHAVIOURS: readonly Behaviour[] = [
  'not_executed',
  'not_executed',
  'not_executed',
  'fail',
];
const MOMENTS: readonly CopyMoment[] = [
  'same_request',
  'same_request',
  'next_request',
];
const WHOLE_ANSWERS_SHARE = 0.3;
const MISDIRECTED_SHARE = 0.3;

/** One such time of the upstream `target`. */
export function drawCopies(target: string, random: () => number): Fault {
  return {
    kind: 'upstream_copies',
    target,
    atMs: Math.round(random() * FAULTS_MS),
    durationMs: Math.round(SHORTEST_MS + random() * (LONGEST_MS - SHORTEST_MS)),
    behaviour: pick(BEHAVIOURS, random) ?? 'not_executed',
    copies: {
      moment: pick(MOMENTS, random) ?? 'same_request',
      areOfAnswers: random() < WHOLE_ANSWERS_SHARE,
      refusalStatus: random() < MISDIRECTED_SHARE ? 421 : 503,
    },
  };
}
