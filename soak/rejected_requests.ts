/** Runs in which upstreams turn most requests away while schedulers move. */
import type {Behaviour} from '../platform/standin/stand_in.js';
import {seededRandom} from '../src/node/__tests__/support/random.js';
import {byTime, type Fault, type FaultKind} from './fault_plan.js';
import type {Layout} from './layout.js';
import {SoakProfile} from './profile.js';
import {pick} from './traffic.js';

const FIRST_MS = 500;
const ALL_MS = 11_000;
const STINTS = 3;
/** The end of a stint must not undo the next one. */
const STINT_GAP_MS = 100;
const BEHAVIOURS: readonly Behaviour[] = ['not_executed', 'fail'];
/** By share of the faults. */
const ENDS: readonly FaultKind[] = ['kill', 'kill', 'pause'];
const ENTRY_ENDS = 14;
const CONTROL_ENDS = 3;
const SHORTEST_DOWN_MS = 200;
const DOWN_RANGE_MS = 1_500;

/** Rejections and failures, with kills and pauses of entries and control members. */
export class RejectedRequests extends SoakProfile {
  override readonly name = 'rejections';
  override readonly eventPauseMs = 25;
  override readonly losesNothing = false;

  override isUnframed(): boolean {
    return false;
  }

  override faultsOf(
    seed: number,
    {upstreams, processes}: Layout,
  ): readonly Fault[] {
    const random = seededRandom(seed);
    const namesOf = (role: string): readonly string[] =>
      processes.filter(each => each.role === role).map(each => each.name);
    return byTime([
      ...upstreams.flatMap(({name}) => stintsOf(name, random)),
      ...endsOf(namesOf('entry'), ENTRY_ENDS, random),
      ...endsOf(namesOf('control'), CONTROL_ENDS, random),
    ]);
  }
}

/** Times one after the other, in each of which an upstream behaves in one way. */
function stintsOf(target: string, random: () => number): readonly Fault[] {
  const durationMs = Math.round((ALL_MS - FIRST_MS) / STINTS) - STINT_GAP_MS;
  return Array.from({length: STINTS}, (_, position) => ({
    kind: 'upstream_behaviour',
    target,
    atMs: FIRST_MS + position * (durationMs + STINT_GAP_MS),
    durationMs,
    behaviour: pick(BEHAVIOURS, random) ?? 'not_executed',
  }));
}

/** Ends at regular intervals, of any of the processes. */
function endsOf(
  names: readonly string[],
  count: number,
  random: () => number,
): readonly Fault[] {
  const intervalMs = (ALL_MS - FIRST_MS) / count;
  return Array.from({length: count}, (_, position) => ({
    kind: pick(ENDS, random) ?? 'kill',
    target: pick(names, random) ?? '',
    atMs: Math.round(FIRST_MS + position * intervalMs),
    durationMs: Math.round(SHORTEST_DOWN_MS + random() * DOWN_RANGE_MS),
  }));
}
