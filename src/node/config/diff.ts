/** Readable difference between two configurations. */
import type {Configuration} from './configuration.js';

/** One value that differs; `before` or `after` is absent if it has none. */
export interface Change {
  /** Items of lists are named by id, such as `instances[centro-1].hasDisk`. */
  readonly path: string;
  readonly kind: 'added' | 'removed' | 'changed';
  readonly before?: unknown;
  readonly after?: unknown;
}

type Item = Readonly<Record<string, unknown>>;

const ID_KEYS = [
  'instanceId',
  'upstreamId',
  'workloadId',
  'workspaceId',
  'rankId',
  'modelId',
  'name',
  'regionId',
];

/** All values that differ; an added or removed list item is one change. */
export function diff(
  before: Configuration,
  after: Configuration,
): readonly Change[] {
  return diffValues('', before, after);
}

/** One line per change: `+` added, `-` removed, `~` changed. */
export function formatDiff(changes: readonly Change[]): readonly string[] {
  return changes.map(change => {
    if (change.kind === 'added') {
      return `+ ${change.path} = ${JSON.stringify(change.after)}`;
    }
    if (change.kind === 'removed') {
      return `- ${change.path} = ${JSON.stringify(change.before)}`;
    }
    return `~ ${change.path}: ${JSON.stringify(change.before)} -> ${JSON.stringify(change.after)}`;
  });
}

function diffValues(
  path: string,
  before: unknown,
  after: unknown,
): readonly Change[] {
  if (before === undefined && after === undefined) return [];
  if (before === undefined) return [{path, kind: 'added', after}];
  if (after === undefined) return [{path, kind: 'removed', before}];
  if (isItemList(before) && isItemList(after)) {
    return diffItems(path, before, after);
  }
  if (isItem(before) && isItem(after)) {
    const keys = new Set([...Object.keys(before), ...Object.keys(after)]);
    return [...keys].flatMap(key =>
      diffValues(path === '' ? key : `${path}.${key}`, before[key], after[key]),
    );
  }
  return JSON.stringify(before) === JSON.stringify(after)
    ? []
    : [{path, kind: 'changed', before, after}];
}

function diffItems(
  path: string,
  before: readonly Item[],
  after: readonly Item[],
): readonly Change[] {
  const left = new Map(before.map(item => [itemName(item), item]));
  const right = new Map(after.map(item => [itemName(item), item]));
  const names = new Set([...left.keys(), ...right.keys()]);
  return [...names].flatMap(name =>
    diffValues(`${path}[${name}]`, left.get(name), right.get(name)),
  );
}

function isItem(value: unknown): value is Item {
  return typeof value === 'object' && value !== null && !Array.isArray(value);
}

function isItemList(value: unknown): value is readonly Item[] {
  return Array.isArray(value) && value.every(isItem);
}

// A link has no id of its own; its two regions name it.
function itemName(item: Item): string {
  if ('fromRegionId' in item) {
    return `${String(item['fromRegionId'])}-${String(item['toRegionId'])}`;
  }
  const key = ID_KEYS.find(candidate => candidate in item);
  return key === undefined ? JSON.stringify(item) : String(item[key]);
}
