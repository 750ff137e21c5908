/** What may be to blame for the crash of an upstream that ran a request. */
import type {SuspectRun} from '../decisions/quarantine/suspect_record.js';
import {asId, type SuspectId} from '../types/ids.js';
import type {RunningRequest} from './crash_watch.js';
import {sharedParts} from './prompt_parts.js';
import type {WorkItem} from './types.js';

/** The suspects of a request: the shared parts of its prompt, and itself. */
export function suspectsOf(item: WorkItem): readonly SuspectId[] {
  return [...sharedSuspects(item), requestSuspect(item)];
}

/** The suspects of requests that ran on a crashed upstream. */
export function suspectRuns(
  running: readonly RunningRequest[],
): readonly SuspectRun[] {
  return running.map(({item, startedAtMs}) => ({
    shared: sharedSuspects(item),
    request: requestSuspect(item),
    sentAtMs: startedAtMs,
  }));
}

function sharedSuspects(item: WorkItem): readonly SuspectId[] {
  return sharedParts(item).map(partId => asId<SuspectId>(`part:${partId}`));
}

function requestSuspect({fingerprint}: WorkItem): SuspectId {
  return asId<SuspectId>(`request:${fingerprint}`);
}
