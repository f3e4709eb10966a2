export {
  createServiceStandin,
  type ServiceFaults, type ServiceRun, type ServiceStandin, type ServiceStandinOptions
} from './serviceStandin'
