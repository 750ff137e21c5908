/**
 * Moves the records of a workspace to a new home domain. The new home rejects
 * calls, pulls the frozen records from the old home page by page and opens the
 * workspace after the last page.
 */
import type {RpcClient, RpcRouter} from '../rpc/rpc.js';
import {GatewayError} from '../types/errors.js';
import type {DomainId, IdempotencyKey, WorkspaceId} from '../types/ids.js';
import type {LeaderCalls} from './leader_calls.js';
import {
  exportParamsSchema,
  importParamsSchema,
  type ExportPage,
  type ExportParams,
  type ImportParams,
} from './record.js';
import type {RecordStateMachine} from './record_state_machine.js';

/** Maximum number of `moved` answers that one pull follows. */
const MAX_REDIRECTS = 8;
/** Timeout for one page from another domain. */
const PAGE_TIMEOUT_MS = 5_000;

/** The home domains of all workspaces in the current configuration. */
export interface WorkspaceHomes {
  readonly version: number;
  readonly homes: ReadonlyMap<WorkspaceId, DomainId>;
}

/** The home domain of a workspace in the current configuration. */
export interface WorkspaceHome {
  readonly homeDomainId: DomainId;
  /** The version of the current configuration. */
  readonly version: number;
}

/** Options and dependencies of a {@link HomeTransfer}. */
export interface HomeTransferOptions {
  readonly domainId: DomainId;
  readonly calls: LeaderCalls;
  readonly machine: RecordStateMachine;
  readonly rpc: RpcClient;
  /** Returns `undefined` if the current configuration names no home. */
  readonly home: (workspaceId: WorkspaceId) => WorkspaceHome | undefined;
  /**
   * The homes of all workspaces, from which the group detects moves. If it
   * returns `undefined`, each move needs `records.import` before the first
   * call.
   */
  readonly homes: () => WorkspaceHomes | undefined;
  /** Inner addresses of the record members of a domain. */
  readonly domainMembers: (domainId: DomainId) => readonly string[];
}

/** The answer to `records.export`. */
export type ExportResult =
  | {readonly kind: 'page'; readonly page: ExportPage}
  /** Another domain imported the records, or was the home before this one. */
  | {readonly kind: 'moved'; readonly toDomainId: DomainId}
  /** The requesting domain itself has the latest records. */
  | {readonly kind: 'yours'}
  /** The records are incomplete here, or the requested version is outdated. */
  | {readonly kind: 'refused'};

/** The answer to calls of a workspace that cannot be used in this domain. */
export interface NotHome {
  readonly kind: 'not_home';
  readonly homeDomainId?: DomainId;
}

/** The answer to `records.import`. */
export interface ImportResult {
  readonly kind: 'open' | 'importing';
}

/** Answers `records.export` and `records.import` on one member. */
export class HomeTransfer {
  private readonly pulls = new Map<WorkspaceId, Promise<void>>();
  private observedVersion = 0;

  constructor(private readonly options: HomeTransferOptions) {}

  /** Registers the RPC methods. */
  register(router: RpcRouter): void {
    router.register('records.export', exportParamsSchema, params =>
      this.export(params),
    );
    router.register('records.import', importParamsSchema, params =>
      this.import(params),
    );
  }

  /**
   * Checks, on the leader, whether a workspace may be used in this domain, and
   * starts the import if the workspace moved here. Returns the answer to calls
   * if it may not be used.
   */
  async checkHome(workspaceId: WorkspaceId): Promise<NotHome | undefined> {
    await this.observeHomes();
    const home = this.options.home(workspaceId);
    if (home === undefined) return undefined;
    if (home.homeDomainId !== this.options.domainId) {
      return {kind: 'not_home', homeDomainId: home.homeDomainId};
    }
    const view = this.options.machine.viewWorkspace(workspaceId);
    const hasHomes = this.options.homes() !== undefined;
    // This process has an older configuration than the record group.
    if (view === undefined && hasHomes) return {kind: 'not_home'};
    const other = view?.otherDomainId;
    // A closed workspace returned before the group detected that it had moved
    // away. An import in progress must use the current version, because the
    // other domain refuses versions older than the latest that it processed.
    if (view?.status !== 'open' && other !== undefined) {
      await this.proposeAwaitImport(workspaceId, other, home.version);
    }
    this.resumePull(workspaceId);
    return undefined;
  }

  /** Proposes, on the leader, the workspace homes that changed. */
  async observeHomes(): Promise<void> {
    const current = this.options.homes();
    if (current === undefined || current.version <= this.observedVersion) {
      return;
    }
    const {version} = current;
    const homes = this.options.machine.listHomeChanges(current.homes);
    if (homes.length > 0) {
      const ownDomainId = this.options.domainId;
      await this.options.calls.propose({
        kind: 'observe_homes',
        ownDomainId,
        version,
        homes,
      });
    }
    this.observedVersion = version;
  }

  /** Resumes, on the leader, all imports that are not complete. */
  async resumePulls(): Promise<void> {
    const importing = this.options.machine.listImporting();
    // Failed imports are retried at the next timer interval.
    await Promise.allSettled(
      importing.map(workspaceId => this.checkHome(workspaceId)),
    );
  }

  /** `records.export`: freezes the records and returns one page. */
  export(params: ExportParams): Promise<ExportResult> {
    return this.options.calls.run('records.export', params, async () => {
      const {workspaceId, toDomainId, version} = params;
      await this.observeHomes();
      await this.options.calls.propose({
        kind: 'close_workspace',
        workspaceId,
        toDomainId,
        version,
      });
      return this.exportResult(params);
    });
  }

  /** `records.import`: pulls a workspace and resolves once it is open. */
  import(params: ImportParams): Promise<ImportResult> {
    return this.options.calls.run('records.import', params, async () => {
      const {workspaceId, fromDomainId, version} = params;
      await this.proposeAwaitImport(workspaceId, fromDomainId, version);
      this.resumePull(workspaceId);
      await this.pulls.get(workspaceId);
      const view = this.options.machine.viewWorkspace(workspaceId);
      return {kind: view?.status === 'open' ? 'open' : 'importing'};
    });
  }

  private exportResult(params: ExportParams): ExportResult {
    const {workspaceId, toDomainId, afterKey} = params;
    const view = this.options.machine.viewWorkspace(workspaceId);
    const first = this.options.machine.findFirstHome(workspaceId);
    if (view === undefined) {
      return first === undefined || first === this.options.domainId
        ? {kind: 'refused'}
        : {kind: 'moved', toDomainId: first};
    }
    const other = view.otherDomainId;
    if (other === undefined) return {kind: 'refused'};
    if (view.status === 'importing') {
      // The requesting domain retries after this import has completed.
      this.resumePull(workspaceId);
      return {kind: 'refused'};
    }
    if (view.status === 'open') return {kind: 'refused'};
    if (other !== toDomainId) return {kind: 'moved', toDomainId: other};
    if (!view.complete) return {kind: 'yours'};
    const page = this.options.machine.exportPage(workspaceId, afterKey);
    return page === undefined ? {kind: 'refused'} : {kind: 'page', page};
  }

  private async proposeAwaitImport(
    workspaceId: WorkspaceId,
    fromDomainId: DomainId,
    version: number,
  ): Promise<void> {
    const view = this.options.machine.viewWorkspace(workspaceId);
    if (view !== undefined && view.version >= version) return;
    await this.options.calls.propose({
      kind: 'await_import',
      workspaceId,
      fromDomainId,
      version,
    });
  }

  /** Starts a background pull unless one is running for the workspace. */
  private resumePull(workspaceId: WorkspaceId): void {
    const view = this.options.machine.viewWorkspace(workspaceId);
    const source = view?.otherDomainId;
    if (view?.status !== 'importing' || source === undefined) return;
    if (this.pulls.has(workspaceId)) return;
    // After a failure, the next call restarts the pull from the first page.
    const pull = this.pull(workspaceId, source, view.version)
      .catch(() => undefined)
      .finally(() => this.pulls.delete(workspaceId));
    this.pulls.set(workspaceId, pull);
  }

  private async pull(
    workspaceId: WorkspaceId,
    fromDomainId: DomainId,
    version: number,
  ): Promise<void> {
    let source = fromDomainId;
    let afterKey: IdempotencyKey | undefined;
    let redirects = 0;
    for (;;) {
      const result = await this.fetchPage(source, {
        workspaceId,
        toDomainId: this.options.domainId,
        version,
        afterKey,
        timeoutMs: PAGE_TIMEOUT_MS,
      });
      if (result.kind === 'refused') return;
      if (result.kind === 'yours') {
        const view = this.options.machine.viewWorkspace(workspaceId);
        if (view?.complete !== true) return;
        await this.options.calls.propose({
          kind: 'open_workspace',
          workspaceId,
          version,
          unknownBeforeMs: 0,
        });
        return;
      }
      if (result.kind === 'moved') {
        redirects += 1;
        if (result.toDomainId === this.options.domainId) return;
        // The next pull continues if the records keep moving.
        if (redirects > MAX_REDIRECTS) return;
        source = result.toDomainId;
        afterKey = undefined;
        continue;
      }
      await this.options.calls.propose({
        kind: 'import',
        workspaceId,
        version,
        page: result.page,
      });
      afterKey = result.page.continueAfter;
      if (afterKey === undefined) return;
    }
  }

  private async fetchPage(
    source: DomainId,
    params: ExportParams,
  ): Promise<ExportResult> {
    for (const address of this.options.domainMembers(source)) {
      const answer = await this.options.rpc.call<ExportResult>(
        address,
        'records.export',
        params,
        PAGE_TIMEOUT_MS,
      );
      if (answer.isOk()) return answer.value;
    }
    throw new GatewayError({
      code: 'unreachable',
      message: `no record member of domain ${source} answered`,
      step: 'records.import',
      peer: source,
    });
  }
}
