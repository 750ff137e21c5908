/** Flags that say what a workspace is to be like. */
import type {QuotaAnswer} from '../config/answers.js';
import type {WorkspaceTraits} from '../config/workspace_edits.js';
import {asId, type RankId, type RegionId} from '../types/ids.js';
import {textOption, type ParsedOptions} from './command.js';
import {usageFailure} from './failures.js';

export const TRAIT_OPTIONS = [
  ['--home', 'Home region'],
  ['--residency', 'Regions that may serve it, with commas between them'],
  ['--rank', 'Rank of all its workloads; `none` leaves it to these'],
  ['--fair-weight', 'Share among workspaces of the same rank'],
  ['--quota-unit', 'What its quota counts: requests or tokens'],
  ['--rate', 'Units a second over all entries; `none` ends its quota'],
  ['--burst', 'Units beyond the rate that may be used at once'],
  ['--plain-tokens', 'What a call without tokens counts in a quota of tokens'],
] as const;

/** What these flags change; what none of them names stays as it is. */
export function traitsOf(options: ParsedOptions): WorkspaceTraits {
  const home = textOption(options, 'home');
  const residency = textOption(options, 'residency');
  const rank = textOption(options, 'rank');
  const fairWeight = numberOption(options, 'fair-weight');
  const quota = quotaOf(options);
  return {
    ...(home === undefined ? {} : {home: asId<RegionId>(home)}),
    ...(residency === undefined
      ? {}
      : {
          residency: residency
            .split(',')
            .map(each => asId<RegionId>(each.trim())),
        }),
    ...(rank === undefined ? {} : {rank: asId<RankId>(rank)}),
    ...(fairWeight === undefined ? {} : {fairWeight}),
    ...(quota === undefined ? {} : {quota}),
  };
}

function quotaOf(options: ParsedOptions): WorkspaceTraits['quota'] {
  const unit = textOption(options, 'quota-unit');
  const burst = numberOption(options, 'burst');
  const plainTokens = numberOption(options, 'plain-tokens');
  const isEnded = options['rate'] === 'none';
  const ratePerS = isEnded ? undefined : numberOption(options, 'rate');
  const parts = {
    ...(unit === undefined ? {} : {unit: unit as QuotaAnswer['unit']}),
    ...(ratePerS === undefined ? {} : {ratePerS}),
    ...(burst === undefined ? {} : {burst}),
    ...(plainTokens === undefined ? {} : {plainTokens}),
  };
  const isChanged = Object.keys(parts).length > 0;
  if (isEnded && isChanged) {
    throw usageFailure('--rate none ends the quota, so it has no other parts');
  }
  if (isEnded) return 'none';
  return isChanged ? parts : undefined;
}

function numberOption(
  options: ParsedOptions,
  name: string,
): number | undefined {
  const value = options[name];
  if (value === undefined || typeof value === 'number') return value;
  throw usageFailure(`--${name} needs a number`);
}
