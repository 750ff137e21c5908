/** Creates the registry of the streams that this entry began. */
import {
  OriginRegistry,
  type OriginRegistryOptions,
} from '../origins/origin_registry.js';
import {domainsOfRegion, type IngressSettings} from './settings.js';

export function createOrigins(
  settings: IngressSettings,
  options: Omit<OriginRegistryOptions, 'self' | 'location' | 'domains'>,
): OriginRegistry {
  const {instanceId: self, domainId: domain, regionId: region} = settings;
  return new OriginRegistry({
    ...options,
    self,
    location: {domain, region},
    domains: domainsOfRegion(settings),
  });
}
