/**
 * Since which version of the route table no workspace has held a key, as far as this
 * process has seen the versions. Beside the table in force, it keeps only digests of
 * keys that were taken away.
 */
import type {RouteTable} from '../routes/route_table.js';
import type {WorkspaceId} from '../types/ids.js';
import {digestOfKey} from './key_digest.js';

/** Older ones are forgotten, so that keys which change often take no memory. */
const MAX_TAKEN_KEYS = 4_096;

/** What is known of a key that the table in force does not hold. */
export interface KeyAbsence {
  /** The first version of which it is known that it and all later ones lack it. */
  readonly sinceVersion: number;
  /** The workspace that held it before; `undefined` if none is known. */
  readonly formerWorkspace: WorkspaceId | undefined;
}

interface TakenKey {
  readonly sinceVersion: number;
  readonly formerWorkspace: WorkspaceId;
}

type Workspaces = NonNullable<RouteTable['workspaces']>;
type Digests = ReadonlyMap<string, WorkspaceId>;

/** The keys that versions up to one of them have taken away. */
export class KeyHistory {
  private constructor(
    private readonly workspaces: Workspaces,
    private readonly taken: ReadonlyMap<string, TakenKey>,
    /** From this version on, each key that was taken away is known. */
    private readonly sinceVersion: number,
  ) {}

  /** The history up to a table that replaces the one of `before`. */
  static upTo(
    {version, workspaces = []}: Pick<RouteTable, 'version' | 'workspaces'>,
    before?: KeyHistory,
  ): KeyHistory {
    if (before === undefined) {
      return new KeyHistory(workspaces, new Map(), version);
    }
    const held = digestsOf(workspaces);
    const taken = [
      ...[...before.taken].filter(([digest]) => !held.has(digest)),
      ...[...digestsOf(before.workspaces)]
        .filter(([digest]) => !held.has(digest))
        .map(([digest, formerWorkspace]): [string, TakenKey] => [
          digest,
          {sinceVersion: version, formerWorkspace},
        ]),
    ];
    const forgotten = taken.slice(0, -MAX_TAKEN_KEYS).at(-1);
    return new KeyHistory(
      workspaces,
      new Map(taken.slice(-MAX_TAKEN_KEYS)),
      forgotten?.[1].sinceVersion ?? before.sinceVersion,
    );
  }

  /** What is known of a key that no workspace holds now. */
  absenceOf(key: string): KeyAbsence {
    return (
      this.taken.get(digestOfKey(key)) ?? {
        sinceVersion: this.sinceVersion,
        formerWorkspace: undefined,
      }
    );
  }
}

function digestsOf(workspaces: Workspaces): Digests {
  return new Map(
    workspaces.flatMap(({name, keyDigests}) =>
      keyDigests.map(digest => [digest, name] as const),
    ),
  );
}
