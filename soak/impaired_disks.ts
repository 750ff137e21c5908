/** Runs in which disks of control members are full or stall. */
import {seededRandom} from '../src/node/__tests__/support/random.js';
import {byTime, FAULTS_MS, type Fault} from './fault_plan.js';
import type {Layout} from './layout.js';
import {drawOperatorLink} from './order_faults.js';
import {SoakProfile} from './profile.js';
import {pick} from './traffic.js';

const DISK_FAULTS = 5;
const SHORTEST_MS = 800;
const LONGEST_MS = 4_000;
const KILLS = 2;
const LONGEST_DOWN_MS = 1_500;

/** Full and stalled disks, also several at once, beside kills of members. */
export class ImpairedDisks extends SoakProfile {
  override readonly name = 'disks';
  override readonly eventPauseMs = 25;
  override readonly losesNothing = false;
  override readonly entriesKeepTouch = false;

  override isUnframed(): boolean {
    return false;
  }

  override faultsOf(seed: number, layout: Layout): readonly Fault[] {
    const random = seededRandom(seed);
    const controls = layout.processes
      .filter(each => each.role === 'control')
      .map(each => each.name);
    const fault = (kind: Fault['kind'], durationMs: number): Fault => ({
      kind,
      target: pick(controls, random) ?? '',
      atMs: Math.round(random() * FAULTS_MS),
      durationMs: Math.round(durationMs),
    });
    const disks = Array.from({length: DISK_FAULTS}, () =>
      fault(
        random() < 0.5 ? 'refuse_disk' : 'stall_disk',
        SHORTEST_MS + random() * (LONGEST_MS - SHORTEST_MS),
      ),
    );
    const kills = Array.from({length: KILLS}, () =>
      fault('kill', random() * LONGEST_DOWN_MS),
    );
    return byTime([...disks, ...kills, drawOperatorLink(random, layout)]);
  }
}
