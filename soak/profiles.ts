/** All kinds of runs, by name. */
import {CompetingWorkspaces} from './competing_workspaces.js';
import {CopiedAnswers} from './copied_answers.js';
import {ImpairedDisks} from './impaired_disks.js';
import {LateOrders} from './late_orders.js';
import {
  CrashedUpstreams,
  KilledEntries,
  MixedFaults,
  PlannedStops,
  type SoakProfile,
} from './profile.js';
import {RejectedRequests} from './rejected_requests.js';

export const PROFILES: readonly SoakProfile[] = [
  new MixedFaults(),
  new PlannedStops(),
  new KilledEntries(),
  new CrashedUpstreams(),
  new CopiedAnswers(),
  new LateOrders(),
  new RejectedRequests(),
  new ImpairedDisks(),
  new CompetingWorkspaces(),
];

/** The profile with a name; the first one if there is none with it. */
export function profileOf(name: string): SoakProfile {
  const [first = new MixedFaults()] = PROFILES;
  return PROFILES.find(each => each.name === name) ?? first;
}
