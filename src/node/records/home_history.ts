/** The home domains of workspaces that a record group has observed. */
import type {DomainId, WorkspaceId} from '../types/ids.js';
import type {ObserveHomesCommand} from './record.js';

interface ObservedHomes {
  /** It had the records at that time, or knows which domain did. */
  readonly first: DomainId;
  readonly last: DomainId;
}

/** A {@link HomeHistory} as JSON. */
export interface HomeHistorySnapshot {
  readonly version: number;
  readonly homes: readonly (readonly [WorkspaceId, ObservedHomes])[];
}

/** The first and the last observed home of each workspace. */
export class HomeHistory {
  /** The configuration version of the last observed change. */
  private version = 0;
  private homes = new Map<WorkspaceId, ObservedHomes>();

  /** Records homes; returns the workspaces whose home is now this domain. */
  observe(command: ObserveHomesCommand): readonly WorkspaceId[] {
    if (command.version <= this.version) return [];
    this.version = command.version;
    command.homes.forEach(([workspaceId, last]) => {
      const first = this.homes.get(workspaceId)?.first ?? last;
      this.homes.set(workspaceId, {first, last});
    });
    return command.homes
      .filter(([, domainId]) => domainId === command.ownDomainId)
      .map(([workspaceId]) => workspaceId);
  }

  /** The given homes that differ from the last observed ones. */
  listChanges(
    homes: ReadonlyMap<WorkspaceId, DomainId>,
  ): [WorkspaceId, DomainId][] {
    return [...homes].filter(
      ([workspaceId, domainId]) =>
        this.homes.get(workspaceId)?.last !== domainId,
    );
  }

  /** The first observed home of a workspace. */
  findFirst(workspaceId: WorkspaceId): DomainId | undefined {
    return this.homes.get(workspaceId)?.first;
  }

  toSnapshot(): HomeHistorySnapshot {
    return {version: this.version, homes: [...this.homes]};
  }

  restore({version, homes}: HomeHistorySnapshot): void {
    this.version = version;
    this.homes = new Map(homes);
  }
}
