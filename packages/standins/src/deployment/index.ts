export { readPlan, deploymentPlan, type DeploymentPlan } from './plan'
export { DEPLOYMENT_PEER_KEY, startDeployment, type Deployment, type StartOptions } from './deployment'
export { startProcess, type RunningProcess } from './runningProcess'
