/** Waits until a version is in force on every entry, with progress. */
import {monotonicNowMs} from '../clock/clock.js';
import type {InstanceConfig} from '../config/configuration.js';
import type {ConfigVersion} from '../types/ids.js';
import {entryStatusSchema} from './entry_methods.js';
import {CommandFailure, EXIT_FAILURE} from './failures.js';
import {askEntries} from './fleet_queries.js';
import type {Session} from './session.js';

const POLL_MS = 500;
const MAX_NAMED = 8;

/** The instances on which a version is, or is not yet, in force. */
export interface VersionProgress {
  readonly version: ConfigVersion;
  readonly inForceCount: number;
  readonly totalCount: number;
  readonly missing: readonly {
    readonly instanceId: string;
    readonly reason: string;
  }[];
}

/** Asks every entry once which version it serves by. */
export async function readProgress(
  session: Session,
  instances: readonly InstanceConfig[],
  version: ConfigVersion,
): Promise<VersionProgress> {
  const answers = await askEntries(
    session,
    instances,
    'entry.status',
    entryStatusSchema,
  );
  const missing = answers.flatMap(({instance, value, error}) => {
    if (value !== undefined && value.configVersion >= version) return [];
    const reason = error ?? `version ${value?.configVersion ?? 0}`;
    return [{instanceId: instance.instanceId as string, reason}];
  });
  const totalCount = instances.length;
  const inForceCount = totalCount - missing.length;
  return {version, inForceCount, totalCount, missing};
}

/** Resolves once the version is in force everywhere; fails after a timeout. */
export async function waitForVersion(
  session: Session,
  instances: readonly InstanceConfig[],
  version: ConfigVersion,
  timeoutMs: number,
): Promise<VersionProgress> {
  const deadlineMs = monotonicNowMs() + timeoutMs;
  let shown = '';
  for (;;) {
    const progress = await readProgress(session, instances, version);
    const text = formatProgress(progress);
    if (text !== shown) session.note(text);
    shown = text;
    if (progress.missing.length === 0) return progress;
    if (monotonicNowMs() >= deadlineMs) {
      throw new CommandFailure(
        EXIT_FAILURE,
        `version ${version} is accepted, but not in force everywhere after ${timeoutMs} ms`,
      );
    }
    await new Promise(resolve => setTimeout(resolve, POLL_MS));
  }
}

function formatProgress(progress: VersionProgress): string {
  const {version, inForceCount, totalCount, missing} = progress;
  const summary = `version ${version} in force on ${inForceCount} of ${totalCount} entries`;
  if (missing.length === 0) return summary;
  const named = missing
    .slice(0, MAX_NAMED)
    .map(({instanceId, reason}) => `${instanceId} (${reason})`)
    .join(', ');
  const rest = missing.length > MAX_NAMED ? ', ...' : '';
  return `${summary}; missing: ${named}${rest}`;
}
