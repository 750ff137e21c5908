/**
 * Decides whether a model call runs in another domain and forwards it there. A
 * call that another domain forwarded here is never forwarded again.
 */
import type {ServerResponse} from 'node:http';
import {monotonicNowMs} from '../clock/clock.js';
import type {Configuration} from '../config/configuration.js';
import {chooseDomain} from '../decisions/offload/choose_domain.js';
import {findLink} from '../decisions/offload/price.js';
import type {OffloadChoice} from '../decisions/offload/types.js';
import type {MembershipView} from '../membership/membership_view.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import {GatewayError} from '../types/errors.js';
import {asId, type UpstreamId} from '../types/ids.js';
import type {AdmissionGate} from './admission_gate.js';
import type {CrashGuard} from './crash_guard.js';
import {
  admissionRequestOf,
  offloadRequestOf,
  poolOf,
} from './decision_requests.js';
import type {FleetState} from './fleet_state.js';
import {modelEnvelope, type Forwarder} from './forwarding.js';
import {isUpstreamLoss} from './model_attempt.js';
import type {ModelRequest} from './request.js';

const STEP = 'entry.offload';

/** Dependencies of the offloader. */
export interface OffloaderParts {
  readonly fleet: FleetState;
  readonly gate: AdmissionGate;
  readonly forwarder: Forwarder;
  readonly membership: MembershipView;
  readonly crashGuard: CrashGuard;
  readonly metrics: MetricsRegistry;
  readonly configuration: () => Configuration;
  readonly random: () => number;
}

/** The choice to run a call in another domain. */
export type OffloadTarget = Extract<OffloadChoice, {kind: 'away'}>;

/** Offloads model calls to other domains when that is worth its cost. */
export class Offloader {
  /** Pool and rank pairs last offloaded; input to `awayHysteresis`. */
  private readonly offloadedKeys = new Set<string>();

  constructor(private readonly parts: OffloaderParts) {}

  /**
   * Decides where a call should run. `isRejected` means that the local domain
   * has already rejected it.
   */
  choose(request: ModelRequest, isRejected = false): OffloadChoice {
    const {fleet, gate, configuration} = this.parts;
    const nowMs = monotonicNowMs();
    const view = fleet.view(nowMs);
    const preview = gate.preview(
      admissionRequestOf(configuration(), fleet, request),
    );
    const key = `${poolOf(request)} ${request.rank.rankId}`;
    const offload = offloadRequestOf({
      request,
      configuration: configuration(),
      view,
      preview,
      backlogMs: gate.backlogMs(poolOf(request), request.rank.rankId),
      firstTokenMs: fleet.firstTokenMs(poolOf(request)),
      wasAway: this.offloadedKeys.has(key),
      nowMs,
    });
    const {links, policy} = configuration();
    const choice = chooseDomain(
      isRejected ? {...offload, isRejectedLocally: true} : offload,
      view,
      links,
      policy,
      nowMs,
    );
    if (choice.kind === 'away') this.offloadedKeys.add(key);
    else this.offloadedKeys.delete(key);
    return choice;
  }

  /** Forwards a call; resolves with the error if it is not answered. */
  async send(
    request: ModelRequest,
    choice: OffloadTarget,
    startedAtMs: number,
    response: ServerResponse,
    signal: AbortSignal,
  ): Promise<GatewayError | undefined> {
    const {fleet, forwarder, metrics, configuration} = this.parts;
    const {domainId} = choice;
    const address = this.pickEntryAddress(domainId);
    if (address === undefined) return noEntryError(domainId);
    fleet.recordForwarded(domainId, poolOf(request));
    metrics.count('forwarded_total', {
      rank: request.rank.rankId,
      domain: domainId,
    });
    const nowMs = monotonicNowMs();
    const envelope = modelEnvelope(
      request,
      this.firstTokenAllowedMs(request, choice, startedAtMs, nowMs),
      this.parts.crashGuard.lostUpstreamIds(request.digest),
      nowMs,
    );
    try {
      const {policy} = configuration();
      await forwarder.forward(address, envelope, response, signal, policy);
      return undefined;
    } catch (thrown) {
      const error = thrown as GatewayError;
      // Gossip may deliver the loss only after this instance's next attempt.
      if (isUpstreamLoss(error)) {
        const lost = asId<UpstreamId>(error.peer);
        this.parts.crashGuard.importLosses(request.digest, [lost]);
      }
      return error;
    }
  }

  // The rank's first-token target minus the time spent here and the network
  // round trip.
  private firstTokenAllowedMs(
    request: ModelRequest,
    choice: OffloadTarget,
    startedAtMs: number,
    nowMs: number,
  ): number {
    const {fleet, configuration} = this.parts;
    const {regionId} = fleet.identity;
    const link = findLink(configuration().links, regionId, choice.regionId);
    const rttMs = 2 * (link?.oneWayDelayMs ?? 0);
    return request.rank.firstTokenTargetMs - (nowMs - startedAtMs) - rttMs;
  }

  private pickEntryAddress(domainId: string): string | undefined {
    const summary = this.parts.membership
      .domainSummaries()
      .find(each => each.domainId === domainId);
    const entries = summary?.entries ?? [];
    const index = Math.floor(this.parts.random() * entries.length);
    return entries[index]?.innerAddress;
  }
}

function noEntryError(domainId: string): GatewayError {
  return new GatewayError({
    code: 'unreachable',
    message: 'no entry of the domain is known',
    step: STEP,
    peer: domainId,
    work: 'not_run',
  });
}
