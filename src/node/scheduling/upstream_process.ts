import {asId, type UpstreamProcessId} from '../types/ids.js';
import type {ListedUpstream} from './types.js';

/** Tells the processes apart that run under one upstream id in succession. */
export function processIdOf({
  upstreamId,
  bornAtMs,
}: Pick<ListedUpstream, 'upstreamId' | 'bornAtMs'>): UpstreamProcessId {
  return asId(`${upstreamId}@${bornAtMs}`);
}
