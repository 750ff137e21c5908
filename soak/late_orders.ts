/** Runs in which operators' orders come late, after the opposite ones. */
import {seededRandom} from '../src/node/__tests__/support/random.js';
import {byTime, type Fault} from './fault_plan.js';
import type {Layout} from './layout.js';
import {drawLateOrder} from './order_faults.js';
import {SoakProfile} from './profile.js';
import {pick} from './traffic.js';

/**
 * Two operators at once, whose orders one control member gets late. Nothing
 * else is impaired, so that all entries stay in touch with the other two.
 */
export class LateOrders extends SoakProfile {
  override readonly name = 'orders';
  override readonly eventPauseMs = 25;
  override readonly losesNothing = false;
  override readonly entriesKeepTouch = true;

  override isUnframed(): boolean {
    return false;
  }

  override faultsOf(seed: number, {processes}: Layout): readonly Fault[] {
    const random = seededRandom(seed);
    const controls = processes.filter(each => each.role === 'control');
    const member = pick(controls, random)?.name ?? '';
    const first = drawLateOrder(member, random);
    const second = drawLateOrder(member, random);
    // One domain at most stays evacuated.
    return byTime([first, {...second, isKept: second.isKept && !first.isKept}]);
  }
}
