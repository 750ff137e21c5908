/** Which software versions may continue a stream. */
import {asId, type SoftwareVersion} from '../types/ids.js';
import type {BegunStream} from './types.js';

/** Stands for the version of all upstreams if the list names no versions. */
export const UNVERSIONED = asId<SoftwareVersion>('');

/** Whether an upstream of `version`, if that is known, may continue it. */
export function fits(
  {softwareVersion = UNVERSIONED}: BegunStream,
  version: SoftwareVersion | undefined,
): boolean {
  return version === softwareVersion;
}
