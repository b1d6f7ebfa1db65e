/** Stand-ins for the systems that the router talks to, for tests and the demo. */
export {startCluster} from './cluster/cluster.js';
export type {Cluster, ClusterOptions} from './cluster/cluster.js';
export type {EntryProcess} from './cluster/entry_process.js';
export {buildAnswerText} from './engine/answer_text.js';
export {startEngine} from './engine/engine.js';
export type {EngineOptions, EngineStandIn} from './engine/engine.js';
export {startPlainService} from './plain_service.js';
export type {
  PlainServiceOptions,
  PlainServiceStandIn,
} from './plain_service.js';
export {
  ConfigurationServiceMode,
  startConfigurationService,
} from './configuration_service.js';
export type {
  ConfigurationServiceOptions,
  ConfigurationServiceStandIn,
  ListedInstance,
} from './configuration_service.js';
export {Flow, startProxy} from './processes/proxy.js';
export type {Proxy, ProxyMode} from './processes/proxy.js';
