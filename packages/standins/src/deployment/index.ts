export { DEPLOYMENT_PEER_KEY } from './launcher'
export { readPlan, deploymentPlan, type DeploymentPlan } from './plan'
export { startDeployment, type Deployment, type StartOptions } from './deployment'
export { startProcess, type RunningProcess } from './runningProcess'
