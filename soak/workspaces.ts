/** The workspaces of a run, and which versions of the configuration hold their keys. */
import type {StandInWorkspace} from '../platform/standin/configuration.js';
import {domainOf} from './layout.js';

/** All keys contain it, so that texts can be searched for keys. */
export const KEY_MARK = 'soak-key-';
/** Between two versions that the operator sends. */
export const VERSION_STEP = 3;
/** Versions in a row that hold one key of the workspace whose keys change. */
const KEY_LIFE_VERSIONS = 6;
const CHANGING = 'changing';

/** A workspace without its keys; the same in all versions. */
export interface SoakWorkspace extends Omit<StandInWorkspace, 'apiKeys'> {
  readonly name: string;
}

export const WORKSPACES: readonly SoakWorkspace[] = [
  {name: 'plain', priority: 1},
  {name: 'homed', priority: 3, homeRegions: ['north', 'west']},
  {name: 'requests', ratePerS: 3, burst: 6, unit: 'requests'},
  {name: 'tokens', ratePerS: 200, burst: 400, unit: 'tokens', plainTokens: 100},
  {name: CHANGING},
];

/** The versions that hold a key, from the first to the last. */
export interface KeyLife {
  readonly workspace: SoakWorkspace;
  readonly firstVersion: number;
  readonly lastVersion: number;
}

/** The key that a workspace has in all versions. */
export function lastingKeyOf(workspace: string): string {
  return `${KEY_MARK}${workspace}`;
}

/** A key of the workspace whose keys change. */
export function changingKeyOf(firstVersion: number): string {
  return `${lastingKeyOf(CHANGING)}-${firstVersion}`;
}

/** The workspaces with their keys, as a version of the configuration has them. */
export function workspacesOf(version: number): readonly StandInWorkspace[] {
  const changing = Array.from({length: KEY_LIFE_VERSIONS}, (_, age) =>
    changingKeyOf(version - age * VERSION_STEP),
  );
  return WORKSPACES.map(workspace => ({
    ...workspace,
    apiKeys: [
      lastingKeyOf(workspace.name),
      ...(workspace.name === CHANGING ? changing : []),
    ],
  }));
}

/** Who holds a key and when; `undefined` if nobody ever does. */
export function lifeOfKey(key: string | undefined): KeyLife | undefined {
  const always = {
    firstVersion: Number.NEGATIVE_INFINITY,
    lastVersion: Number.POSITIVE_INFINITY,
  };
  const lasting = WORKSPACES.find(each => lastingKeyOf(each.name) === key);
  if (lasting !== undefined) return {workspace: lasting, ...always};
  const firstVersion = Number(key?.split(`${lastingKeyOf(CHANGING)}-`)[1]);
  const workspace = WORKSPACES.find(each => each.name === CHANGING);
  if (!Number.isInteger(firstVersion) || workspace === undefined) {
    return undefined;
  }
  const lastVersion = firstVersion + (KEY_LIFE_VERSIONS - 1) * VERSION_STEP;
  return {workspace, firstVersion, lastVersion};
}

/** The domains in which requests of a workspace may run; all if there are none. */
export function homeDomainsOf({
  homeRegions = [],
}: SoakWorkspace): readonly string[] {
  return homeRegions.map(domainOf);
}
