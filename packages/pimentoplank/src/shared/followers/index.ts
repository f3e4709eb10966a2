export { createFollowers, type Followers, type FollowersOptions } from './followers'
