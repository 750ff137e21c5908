/** The listeners of an entry beside the one for callers. */
import type {Server} from 'node:http';
import {startTextServer} from '../http/text_server.js';
import type {MetricsRegistry} from '../metrics/registry.js';
import {InnerServer} from '../rpc/http_server.js';
import type {RpcRouter} from '../rpc/rpc.js';
import type {IngressServer} from './ingress_server.js';
import {RELAY_PATH} from './relay.js';
import type {IngressSettings} from './settings.js';

/** The listener for other instances. */
export function createInnerServer(
  {innerAddress, clusterSecret}: IngressSettings,
  router: RpcRouter,
  ingress: IngressServer,
): InnerServer {
  return new InnerServer({
    address: innerAddress,
    clusterSecret,
    router,
    handlers: new Map([
      [
        RELAY_PATH,
        (body, _request, response) => ingress.receiveRelayed(body, response),
      ],
    ]),
  });
}

/** Starts the listeners for readiness checks and metrics. */
export function startTextServers(
  {readinessAddress, metricsAddress}: IngressSettings,
  isReady: () => boolean,
  metrics: MetricsRegistry,
): Promise<readonly Server[]> {
  return Promise.all([
    startTextServer(readinessAddress, () => ({isOk: isReady(), text: ''})),
    startTextServer(metricsAddress, () => ({
      isOk: true,
      text: metrics.toText(),
    })),
  ]);
}
