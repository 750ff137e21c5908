/** Runs in which few upstreams send many copies of their answers late. */
import {seededRandom} from '../src/node/__tests__/support/random.js';
import {drawCopies} from './copy_faults.js';
import {byTime, type Fault} from './fault_plan.js';
import type {Layout} from './layout.js';
import {SoakProfile} from './profile.js';

const TIMES_PER_UPSTREAM = 3;

/**
 * Late copies of refusals, failures and answers. With one upstream a region a
 * refused request comes again to the upstream that refused it; the requests of
 * the region without one come over relays.
 */
export class CopiedAnswers extends SoakProfile {
  override readonly name = 'copies';
  override readonly eventPauseMs = 25;
  override readonly losesNothing = false;
  override readonly upstreamsPerRegion: readonly number[] = [0, 1, 1];

  override isUnframed(): boolean {
    return false;
  }

  override faultsOf(seed: number, {upstreams}: Layout): readonly Fault[] {
    const random = seededRandom(seed);
    const times = Array.from({length: TIMES_PER_UPSTREAM}, () => upstreams);
    return byTime(times.flat().map(({name}) => drawCopies(name, random)));
  }
}
